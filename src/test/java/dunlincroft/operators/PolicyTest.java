package dunlincroft.operators;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dunlincroft.Constants;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.Resources;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PolicyTest {
  private static final MachineType TYPE =
      new MachineType("m16", Resources.roundedDown(16, 0, 64), 2, 1, 30, List.of("a"));

  private static JobSpec job(String team) throws MalformedException {
    return JobSpec.parse(
        Cbor.map()
            .put("ref", "run-1")
            .put("jobclass", "copy")
            .put("owner", team)
            .put("shape", "batch")
            .put("rank", "idle")
            .put("pieces", 7)
            .put("cpus", 2.0)
            .put("gpus", 0)
            .put("ramGb", 1)
            .put("bundle", "i")
            .put("imageGb", 1)
            .put("samePlace", false)
            .put("spread", false)
            .put("lendable", true)
            .put("expectS", 1)
            .put("snapshotS", 0)
            .put("flushS", 0));
  }

  @Test
  void rulesUseTheInputsOfTheirScope() throws MalformedException {
    Policy policy =
        Policy.parse(
            """
            # by machine
            bound = if spot and zone == "a" then 0.5 else 1 - cpus / 160;
            buffer = if tasks > 5 and not service then max(1, min(tasks, 2)) else 0;
            spot = team != "red" or rank == "prod";
            rentals_most = if type == "m16" then 12 else 0;
            spare = 1000000 * price * 1000000 * price * 1000000;
            """);
    assertThat(policy.loadBound(TYPE, "a", true)).isEqualTo(0.5);
    assertThat(policy.loadBound(TYPE, "b", true)).isEqualTo(0.9);
    assertThat(policy.maxPlacementBuffer(job("red"))).isEqualTo(2);
    assertThat(policy.isSpotEnabled(job("red"))).isFalse();
    assertThat(policy.isSpotEnabled(job("blue"))).isTrue();
    assertThat(policy.maxRentals(TYPE)).isEqualTo(12);
    assertThat(policy.spareMachinesPerZone(TYPE))
        .as("clamped to its range")
        .isEqualTo(Constants.MAX_SPARE_MACHINES);
    assertThat(policy.serviceReserve(TYPE, "a", false))
        .as("default value")
        .isEqualTo(Constants.SERVICE_RESERVE);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "bound = 2; | line 1, column 9: bound must be from 0.1 to 1.0",
        "bound = team; | line 1, column 9: bound cannot depend on 'team'",
        "bund = 1; | line 1, column 1: expected a setting, found 'bund'",
        "bound = 1 | line 1, column 10: expected ';', found the end of the file",
        "bound = if spot then 1 else \"x\"; | line 1, column 29: the else part must be a number",
        "bound = 1 / cpus; | line 1, column 13: the divisor must be a constant other than 0",
        "bound = 1 / (2 - 2); | line 1, column 13: the divisor must be a constant other than 0",
        "bound = zone + 1; | line 1, column 14: '+' requires a number",
        "spot = 1; | line 1, column 8: spot must be true or false, not a number",
        "spot = true; spot = true; | line 1, column 14: spot is set twice",
        "spot = team == 4; | line 1, column 13: '==' requires a string",
        "spot = 'x'; | line 1, column 8: unexpected '''",
        "bound = then; | line 1, column 9: expected a value, found 'then'",
      })
  void errorsNameLineAndColumn(String file, String message) {
    assertThatThrownBy(() -> Policy.parse(file))
        .isInstanceOf(MalformedException.class)
        .hasMessageContaining(message);
  }

  @Test
  void linesAreCountedAndSizeIsLimited() {
    assertThatThrownBy(() -> Policy.parse("# one\n  bound = ?;"))
        .hasMessageContaining("line 2, column 11");
    assertThatThrownBy(() -> Policy.parse("bound = " + "(".repeat(100_000)))
        .isInstanceOf(MalformedException.class)
        .hasMessageContaining("nested too deeply");
    assertThatThrownBy(() -> Policy.parse("buffer = 0" + " + tasks".repeat(100_000)))
        .isInstanceOf(MalformedException.class)
        .hasMessageContaining("too long");
  }

  @Property(seed = "3", tries = 1000)
  void arbitraryTextIsParsedOrRejectedWithAPosition(@ForAll @StringLength(max = 60) String text) {
    try {
      assertThat(Policy.parse("buffer = " + text)).isNotNull();
    } catch (MalformedException e) {
      assertThat(e.getMessage()).matches("(?s)line [0-9]+, column [0-9]+: .+");
    }
  }

  /** Every generated numeric expression is accepted, and its value is in range. */
  @Property(seed = "4", tries = 1000)
  void acceptedExpressionsHaveValuesInRange(@ForAll long seed) throws MalformedException {
    String text = numberExpression(new Random(seed), 3);
    JobSpec spec = job("red");
    try {
      double value = Policy.parse("buffer = " + text + ";").maxPlacementBuffer(spec);
      assertThat(value).isBetween(0.0, Constants.MAX_LOAD_BUFFER);
    } catch (MalformedException e) {
      assertThat(e.getMessage()).as(text).contains("buffer must be from");
    }
  }

  private static String numberExpression(Random random, int depth) {
    if (depth == 0) {
      return List.of("tasks", "cpus", "0.5", "3", "999999999999").get(random.nextInt(5));
    }
    String left = numberExpression(random, depth - 1);
    String right = numberExpression(random, depth - 1);
    return switch (random.nextInt(6)) {
      case 0 -> "(" + left + " + " + right + ")";
      case 1 -> "(" + left + " - " + right + ")";
      case 2 -> left + " * (" + right + ")";
      case 3 -> "max(" + left + ", -(" + right + ") / 3)";
      case 4 ->
          "(if "
              + booleanExpression(random, left, right)
              + " then "
              + left
              + " else "
              + right
              + ")";
      default -> "min(" + left + "," + right + ")";
    };
  }

  private static String booleanExpression(Random random, String left, String right) {
    return switch (random.nextInt(4)) {
      case 0 -> "not service and team == \"red\"";
      case 1 -> left + " <= " + right;
      case 2 -> "not (" + left + " != " + right + ")";
      default -> "service or class != rank";
    };
  }
}
