package dunlincroft.ci;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * One entry of KNOWN-RED.txt: a single test case that fails because of a known fault. A line has
 * four fields separated by {@code " | "}: the test case, the command with its seed, the observed
 * failure, and the issue.
 *
 * @param testCase class, method and, for a parameterised test, the invocation, as in {@code
 *     dunlincroft.sim.FailureDetectionTest#name(long, int)[4]}
 * @param line the whole entry
 */
record KnownRed(String testCase, String line) {
  private static final String SEPARATOR = " | ";
  private static final int FIELDS = 4;

  /** Reads the entries of a file; a missing file has none. */
  static List<KnownRed> read(Path file) throws IOException {
    List<KnownRed> entries = new ArrayList<>();
    if (!Files.exists(file)) {
      return entries;
    }
    for (String line : Files.readAllLines(file)) {
      if (!line.isBlank()) {
        entries.add(parse(line.strip()));
      }
    }
    return entries;
  }

  private static KnownRed parse(String line) {
    String[] fields = line.split(Pattern.quote(SEPARATOR));
    boolean complete = fields.length == FIELDS;
    for (String field : fields) {
      complete &= !field.isBlank();
    }
    if (!complete || !fields[0].contains("#") || !fields[FIELDS - 1].contains("issue ")) {
      throw new IllegalArgumentException(
          "KNOWN-RED.txt: expected 'class#case | command and seed | what was seen | issue N': "
              + line);
    }
    return new KnownRed(fields[0].strip(), line);
  }
}
