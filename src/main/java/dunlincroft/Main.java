package dunlincroft;

import dunlincroft.coordination.Controller;
import dunlincroft.front.HttpApi;
import dunlincroft.operators.Policy;
import dunlincroft.protocol.MalformedException;
import dunlincroft.transport.HttpServer;
import dunlincroft.transport.NettyEnv;
import dunlincroft.transport.PeerLink;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Entry point of the command line: runs a controller, or one of the subcommands. */
@Command(
    name = "dunlincroft",
    version = "dunlincroft 0.1.0",
    mixinStandardHelpOptions = true,
    description = "Runs one controller of the cluster scheduler.",
    subcommands = {
      Main.Check.class,
      OperatorCommands.DocumentsCommand.class,
      OperatorCommands.CalendarCommand.class,
      OperatorCommands.MigrationCommand.class,
      ClassArchiveTraining.class
    })
public final class Main implements Callable<Integer> {
  private static final int EXIT_INVALID_SETTINGS = 2;

  @Option(names = "--config", description = "The platform's settings file (JSON).")
  private Path config;

  @Option(
      names = "--operators",
      description = "The operators' own settings (docs/operations.md); without it, the presets.")
  private Path operators;

  @Spec private CommandSpec spec;

  /** Validates settings and exits. */
  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Checks the settings and exits: 0 when they are sound, 2 when not.")
  static final class Check implements Callable<Integer> {
    @Option(names = "--config", required = true, description = "The settings file (JSON).")
    private Path config;

    @Option(names = "--operators", description = "The operators' own settings.")
    private Path operators;

    @Override
    public Integer call() {
      Settings settings = parseFile("settings", config, Settings::parse);
      return settings == null || readPolicy(operators) == null ? EXIT_INVALID_SETTINGS : 0;
    }
  }

  public static void main(String[] args) {
    configureLogging();
    CommandLine cli = new CommandLine(new Main());
    int exitCode = cli.execute(args);
    if (exitCode != 0 || !isRunning) {
      System.exit(exitCode);
    }
  }

  /** Whether a controller has been started, so that the process does not exit. */
  private static boolean isRunning;

  private interface Parser<T> {
    T parse(String text) throws MalformedException;
  }

  /** Parses a file; on failure, prints the reason to stderr and returns null. */
  private static <T> T parseFile(String fileKind, Path file, Parser<T> parser) {
    try {
      return parser.parse(Files.readString(file));
    } catch (MalformedException e) {
      System.err.println(fileKind + " " + file + ": " + e.getMessage());
    } catch (IOException e) {
      System.err.println(fileKind + " " + file + " cannot be read: " + e);
    }
    return null;
  }

  /** The operators' settings, or the defaults without a file; null if the file is invalid. */
  private static Policy readPolicy(Path file) {
    return file == null ? Policy.DEFAULT : parseFile("operators' settings", file, Policy::parse);
  }

  /**
   * Sets the log level and format. Must run before the first logger is created, which may happen in
   * a library that is used to read the settings.
   */
  private static void configureLogging() {
    String level = System.getenv().getOrDefault("LOG_LEVEL", "info");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "warn");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS");
  }

  @Override
  public Integer call() {
    if (config == null) {
      throw new ParameterException(spec.commandLine(), "--config FILE is missing");
    }
    Settings settings = parseFile("settings", config, Settings::parse);
    Policy policy = readPolicy(operators);
    if (settings == null || policy == null) {
      return EXIT_INVALID_SETTINGS;
    }
    Logger log = LoggerFactory.getLogger(Main.class);
    log.debug("settings: {}", settings);
    NettyEnv env =
        new NettyEnv(SystemNanoClock.INSTANCE, SystemEpochClock.INSTANCE, settings.socketLimits());
    Controller controller = new Controller(settings, policy, env);
    try {
      new HttpServer(env, new HttpApi(controller)).listen(settings.listenAddress());
      Map<String, InetSocketAddress> peers =
          settings.peers().stream()
              .collect(Collectors.toMap(Settings.Peer::nodeName, Settings.Peer::address));
      new PeerLink(
              env,
              controller::peerHeartbeat,
              controller::onPeerHeartbeat,
              controller::onConnectionRefusal)
          .start(settings.peerListenAddress(), peers);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 1;
    } catch (Exception e) {
      // Netty throws the checked BindException from sync(), without declaring it.
      System.err.println("cannot listen: " + e.getMessage());
      return 1;
    }
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, error) -> log.error("uncaught exception in thread {}", thread.getName(), error));
    env.runLocked(controller::start);
    log.info(
        "node {} in zone {} listens on {}",
        settings.nodeName(),
        settings.zone(),
        settings.listenAddress());
    isRunning = true;
    return 0;
  }
}
