package dunlincroft.ci;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.ci.TestVerdict.Verdict;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import javax.xml.parsers.ParserConfigurationException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.xml.sax.SAXException;

/** Verdicts on constructed test reports. */
class TestVerdictTest {
  private static final String ENTRY =
      "a.FooTest#bar(long, int)[2] | mvn -Dtest=FooTest, seed 2 | 0.93 of 0.95 | issue 36";

  @TempDir private Path folder;
  private Path known;
  private Path sources;
  private Path reports;

  @BeforeEach
  void createFolders() throws IOException {
    known = folder.resolve("KNOWN-RED.txt");
    sources = Files.createDirectories(folder.resolve("src"));
    reports = Files.createDirectories(folder.resolve("reports"));
  }

  private void report(String cases) throws IOException {
    Files.createDirectories(sources.resolve("a"));
    Files.writeString(sources.resolve("a/FooTest.java"), "");
    Files.writeString(
        reports.resolve("TEST-a.FooTest.xml"), "<testsuite>" + cases + "</testsuite>");
  }

  private static String testCase(int number, String content) {
    return "<testcase name=\"bar(long, int)["
        + number
        + "]\" classname=\"a.FooTest\">"
        + content
        + "</testcase>";
  }

  private Verdict verdict() throws IOException, ParserConfigurationException, SAXException {
    return TestVerdict.of(known, sources, reports);
  }

  @Test
  void aRunWithoutFailuresPasses() throws Exception {
    report(testCase(1, "") + testCase(2, ""));
    assertThat(verdict().passed()).isTrue();
    assertThat(verdict().lines()).containsExactly("2 passed, 0 failed, 0 skipped");
  }

  @Test
  void aListedFailureIsTolerated() throws Exception {
    Files.writeString(known, ENTRY + "\n");
    report(testCase(1, "") + testCase(2, "<failure/>"));
    assertThat(verdict().passed()).isTrue();
    assertThat(verdict().lines()).contains("known red: " + ENTRY, "1 passed, 1 failed, 0 skipped");
  }

  /** A listed invocation must not excuse failures of the method's other invocations. */
  @Test
  void anUnlistedCaseOfAListedMethodFails() throws Exception {
    Files.writeString(known, ENTRY + "\n");
    report(testCase(1, "<failure/>") + testCase(2, "<failure/>"));
    assertThat(verdict().passed()).isFalse();
    assertThat(verdict().lines()).contains("failed: a.FooTest#bar(long, int)[1]");
  }

  @Test
  void anErrorIsAFailure() throws Exception {
    report(testCase(1, "<error/>"));
    assertThat(verdict().passed()).isFalse();
  }

  @Test
  void aListedCaseThatPassesIsReported() throws Exception {
    Files.writeString(known, ENTRY + "\n");
    report(testCase(2, ""));
    assertThat(verdict().passed()).isTrue();
    assertThat(verdict().lines()).contains("listed as known red, but passed: " + ENTRY);
  }

  @Test
  void aListedCaseThatDoesNotExistOrIsSkippedFails() throws Exception {
    Files.writeString(known, ENTRY + "\n");
    report(testCase(1, ""));
    assertThat(verdict().passed()).isFalse();
    report(testCase(2, "<skipped/>"));
    assertThat(verdict().passed()).isFalse();
    assertThat(verdict().lines())
        .contains("listed as known red, but not run: " + ENTRY, "0 passed, 0 failed, 1 skipped");
  }

  @Test
  void anEntryWithoutAllFieldsFails() throws Exception {
    Files.writeString(known, "a.FooTest#bar: fails at times\n");
    report(testCase(1, ""));
    assertThat(verdict().passed()).isFalse();
  }

  @Test
  void aClassWithoutReportFails() throws Exception {
    report(testCase(1, ""));
    Files.writeString(sources.resolve("a/BarTest.java"), "");
    assertThat(verdict().passed()).isFalse();
    assertThat(verdict().lines()).contains("no report of a.BarTest");
  }

  @Test
  void aRunWithoutTestsFails() throws Exception {
    assertThat(verdict().passed()).isFalse();
  }
}
