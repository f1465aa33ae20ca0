package dunlincroft;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Starts the program in a process of its own, as an operator does. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class MainTest {
  private static final String SETTINGS =
      """
      {"node_name":"n0","site":"a","listen":"127.0.0.1:0","back":"127.0.0.1:0","others":[],
       "endpoints":{"cloud":"127.0.0.1:1","state":"127.0.0.1:1"},
       "deployment":{"teams":[],"workers":{"report_s":2.0,"lease_s":20.0,"cancel_s":45.0},
        "state":{"rps":200.0,"write_rps":60.0,"value_kb":4.0,"txn_ops":8},
        "cloud":{"rps":10.0,"list_lag_s":5.0}}}
      """;

  @TempDir private Path folder;

  private Process start(String level, String... args) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "dunlincroft.Main"));
    command.addAll(List.of(args));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("LOG_LEVEL", level);
    return builder.start();
  }

  /** The level is ignored if a library creates the first logger before the level is set. */
  @Test
  void logLevelIsApplied() throws IOException {
    Path config = Files.writeString(folder.resolve("settings.json"), SETTINGS);
    Process process = start("debug", "--config", config.toString());
    try (BufferedReader lines = process.errorReader()) {
      assertThat(lines.lines().filter(line -> !line.startsWith("Picked up")).findFirst())
          .hasValueSatisfying(line -> assertThat(line).contains("DEBUG Main - settings"));
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void invalidOperatorSettingsExitWithTwo() throws IOException, InterruptedException {
    Path config = Files.writeString(folder.resolve("settings.json"), SETTINGS);
    Path outOfRange = Files.writeString(folder.resolve("operators"), "bound = 0;\n");
    Path missing = folder.resolve("none");
    for (Path operators : List.of(outOfRange, missing, folder)) {
      Process process =
          start("info", "--operators", operators.toString(), "--config", config.toString());
      assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
      assertThat(process.exitValue()).isEqualTo(2);
      assertThat(process.errorReader().lines().filter(line -> !line.startsWith("Picked up")))
          .singleElement()
          .asString()
          .startsWith("operators' settings " + operators);
    }
  }
}
