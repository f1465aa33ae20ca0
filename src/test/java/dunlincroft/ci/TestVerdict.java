package dunlincroft.ci;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;
import org.xml.sax.SAXException;

/**
 * Decides from the reports of a test run whether the run passes. It fails on each failed test case
 * that KNOWN-RED.txt does not list, on a listed case that did not run, on a test class without a
 * report, and if no test was run at all. Called by {@code .ci/run} with KNOWN-RED.txt, the folder
 * of test sources and the folder of reports.
 */
public final class TestVerdict {
  /** Result of a test case. */
  private enum Outcome {
    PASSED,
    FAILED,
    SKIPPED
  }

  /**
   * The verdict on a run.
   *
   * @param lines lines to print
   * @param passed whether the change that was tested may be merged
   */
  record Verdict(List<String> lines, boolean passed) {}

  private final Map<String, Outcome> outcomes = new TreeMap<>();
  private final List<String> lines = new ArrayList<>();
  private boolean passed = true;

  private TestVerdict() {}

  /** Prints the verdict. The exit code is 1 if the run fails. */
  public static void main(String[] args)
      throws IOException, ParserConfigurationException, SAXException {
    Verdict verdict = of(Path.of(args[0]), Path.of(args[1]), Path.of(args[2]));
    verdict.lines.forEach(System.out::println);
    System.exit(verdict.passed ? 0 : 1);
  }

  static Verdict of(Path knownRed, Path sources, Path reports)
      throws IOException, ParserConfigurationException, SAXException {
    TestVerdict verdict = new TestVerdict();
    verdict.readAll(reports);
    verdict.compare(knownRed);
    verdict.findMissingClasses(sources, reports);
    verdict.count();
    return new Verdict(verdict.lines, verdict.passed);
  }

  // ---- reports ----

  private void readAll(Path reports)
      throws IOException, ParserConfigurationException, SAXException {
    if (!Files.isDirectory(reports)) {
      return;
    }
    for (Path report : files(reports, "TEST-", ".xml")) {
      NodeList cases =
          DocumentBuilderFactory.newInstance()
              .newDocumentBuilder()
              .parse(report.toFile())
              .getElementsByTagName("testcase");
      for (int i = 0; i < cases.getLength(); i++) {
        read((Element) cases.item(i));
      }
    }
  }

  private void read(Element testCase) {
    String name = testCase.getAttribute("classname") + "#" + testCase.getAttribute("name");
    boolean failed = has(testCase, "failure") || has(testCase, "error");
    boolean skipped = has(testCase, "skipped");
    Outcome outcome = failed ? Outcome.FAILED : skipped ? Outcome.SKIPPED : Outcome.PASSED;
    // If several cases have the same name, a failed one counts.
    outcomes.merge(name, outcome, (one, other) -> one == Outcome.FAILED ? one : other);
  }

  private static boolean has(Element testCase, String tag) {
    return testCase.getElementsByTagName(tag).getLength() > 0;
  }

  private static List<Path> files(Path folder, String prefix, String suffix) throws IOException {
    try (Stream<Path> all = Files.walk(folder)) {
      return all.filter(file -> file.getFileName().toString().startsWith(prefix))
          .filter(file -> file.getFileName().toString().endsWith(suffix))
          .sorted()
          .toList();
    }
  }

  // ---- the verdict ----

  private void reject(String line) {
    lines.add(line);
    passed = false;
  }

  private void compare(Path knownRed) throws IOException {
    Map<String, KnownRed> known = new TreeMap<>();
    try {
      KnownRed.read(knownRed).forEach(entry -> known.put(entry.testCase(), entry));
    } catch (IllegalArgumentException e) {
      reject(e.getMessage());
    }
    known.forEach(
        (name, entry) -> {
          switch (outcomes.getOrDefault(name, Outcome.SKIPPED)) {
            case FAILED -> lines.add("known red: " + entry.line());
            case PASSED -> lines.add("listed as known red, but passed: " + entry.line());
            case SKIPPED -> reject("listed as known red, but not run: " + entry.line());
          }
        });
    outcomes.forEach(
        (name, outcome) -> {
          if (outcome == Outcome.FAILED && !known.containsKey(name)) {
            reject("failed: " + name);
          }
        });
  }

  private void findMissingClasses(Path sources, Path reports) throws IOException {
    for (Path source : files(sources, "", "Test.java")) {
      String path = sources.relativize(source).toString();
      String name = path.substring(0, path.length() - ".java".length()).replace('/', '.');
      if (!Files.exists(reports.resolve("TEST-" + name + ".xml"))) {
        reject("no report of " + name);
      }
    }
  }

  private void count() {
    lines.add(
        count(Outcome.PASSED)
            + " passed, "
            + count(Outcome.FAILED)
            + " failed, "
            + count(Outcome.SKIPPED)
            + " skipped");
    if (outcomes.isEmpty()) {
      reject("no test was run");
    }
  }

  private long count(Outcome wanted) {
    return outcomes.values().stream().filter(outcome -> outcome == wanted).count();
  }
}
