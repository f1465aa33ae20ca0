package rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: one line for each thing that was sent, answered or run. */
final class Record {
  private static final long START = System.nanoTime();
  private static PrintWriter out;

  private Record() {}

  static void open(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  /** Seconds since the case began. */
  static double now() {
    return (System.nanoTime() - START) / 1e9;
  }

  static synchronized void say(String format, Object... args) {
    String line = String.format("%8.3f ", now()) + String.format(format, args);
    if (out != null) {
      out.println(line);
    }
    if (System.getenv("VERBOSE") != null) {
      System.out.println(line);
    }
  }
}
