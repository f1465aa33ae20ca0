package rig;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** One controller: a process with the command of the deploy file. */
final class Controller {
  final String name;
  final String site;
  final String listen = Wire.HOST + ":" + Wire.freePort();
  final String back = Wire.HOST + ":" + Wire.freePort();
  final int statePort = Wire.freePort();
  private final Path root;
  private final Path folder;
  private Process process;

  Controller(String name, String site, Path root, Path folder) {
    this.name = name;
    this.site = site;
    this.root = root;
    this.folder = folder;
  }

  void start() throws IOException {
    String run =
        Files.readAllLines(root.resolve("deploy/service.toml")).stream()
            .filter(line -> line.startsWith("run"))
            .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
            .findFirst()
            .orElseThrow();
    List<String> command = new ArrayList<>(List.of(run.trim().split(" +")));
    command.add(folder.resolve(name + ".json").toString());
    File log = folder.resolve(name + ".log").toFile();
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("NODE_LOG", "info"));
    builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
    Record.say("controller %s starts", name);
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  void kill() {
    if (process != null) {
      process.destroyForcibly();
      Wire.pause(20);
      Record.say("controller %s is killed", name);
    }
  }

  void signal(String signal) throws IOException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
    Record.say("controller %s gets %s", name, signal);
  }

  Path log() {
    return folder.resolve(name + ".log");
  }
}
