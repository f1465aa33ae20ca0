package dunlincroft;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.calendar.CalendarDocument;
import dunlincroft.calendar.SettlementCalendar;
import dunlincroft.documents.DocumentStore;
import dunlincroft.documents.Documents.Version;
import dunlincroft.documents.RateLimitedStateClient;
import dunlincroft.migration.MigrationLedger;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.Wire;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.LocalDate;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Function;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Subcommands for operators' documents, and for the calendar and the migrations that they define.
 */
final class OperatorCommands {
  private static final int EXIT_INVALID_INPUT = 2;
  private static final int EXIT_FAILED = 1;

  private OperatorCommands() {}

  private interface Action {
    void run()
        throws MalformedException, IOException, DocumentStore.Unreachable, DocumentStore.Conflict;
  }

  /**
   * Runs an action and returns the exit code: 0 for success, 2 for invalid input, 1 for any other
   * failure. The reason for a failure is printed to stderr.
   */
  private static int exitCode(Action action) {
    try {
      action.run();
      return 0;
    } catch (MalformedException e) {
      System.err.println(e.getMessage());
      return EXIT_INVALID_INPUT;
    } catch (IOException e) {
      System.err.println("cannot be read: " + e.getMessage());
      return EXIT_INVALID_INPUT;
    } catch (DocumentStore.Unreachable | DocumentStore.Conflict e) {
      System.err.println(e.getMessage());
      return EXIT_FAILED;
    }
  }

  /** Validates the text of a document. */
  private static void check(String name, String text) throws MalformedException {
    switch (name) {
      case SettlementCalendar.DOCUMENT -> CalendarDocument.parse(text);
      case MigrationLedger.DOCUMENT -> MigrationLedger.check(text);
      default ->
          throw new MalformedException(
              "unknown document " + name + "; known documents: calendar, migration");
    }
  }

  /** Base class of the commands that use the state service. */
  abstract static class StateServiceCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, description = "The platform's settings file.")
    private Path config;

    private Settings settings() throws MalformedException, IOException {
      return Settings.parse(Files.readString(config));
    }

    RateLimitedStateClient stateClient() throws MalformedException, IOException {
      return new RateLimitedStateClient(settings().stateEndpoint());
    }

    DocumentStore documentStore() throws MalformedException, IOException {
      Settings settings = settings();
      return new DocumentStore(
          stateClient(),
          (int) (settings.maxValueKib() * Constants.BYTES_PER_KIB),
          settings.maxTxnOps());
    }

    abstract void execute()
        throws MalformedException, IOException, DocumentStore.Unreachable, DocumentStore.Conflict;

    @Override
    public Integer call() {
      return exitCode(this::execute);
    }

    /** The version with this number, or the newest one if the number is null. */
    static Version findVersion(List<Version> versions, String name, Long number)
        throws MalformedException {
      return versions.stream()
          .filter(each -> number == null || each.number() == number)
          .reduce((first, second) -> second)
          .orElseThrow(
              () ->
                  new MalformedException(
                      number == null
                          ? "there is no version of " + name
                          : "there is no version " + number + " of " + name));
    }
  }

  /** Groups the commands for documents in the state service. */
  @Command(
      name = "documents",
      mixinStandardHelpOptions = true,
      description = "Operators' documents, kept as versions in the state service.",
      subcommands = {Check.class, Put.class, Show.class, History.class, Revert.class})
  static final class DocumentsCommand {}

  /** Validates a file. */
  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Checks a file as a whole: 0 when it is sound, 2 and a line a fault when not.")
  static final class Check implements Callable<Integer> {
    @Parameters(index = "0", description = "Name of the document: calendar or migration.")
    private String name;

    @Parameters(index = "1", description = "The file (TOML).")
    private Path file;

    @Override
    public Integer call() {
      return exitCode(() -> check(name, Files.readString(file)));
    }
  }

  /** Stores a file as the newest version. */
  @Command(
      name = "put",
      mixinStandardHelpOptions = true,
      description = "Checks a file and puts it as the newest version, at one change a second.")
  static final class Put extends StateServiceCommand {
    @Parameters(index = "0", description = "Name of the document.")
    private String name;

    @Parameters(index = "1", description = "The file (TOML).")
    private Path file;

    @Option(names = "--by", description = "Who puts it, for the history.")
    private String by = System.getProperty("user.name", "");

    @Override
    void execute()
        throws MalformedException, IOException, DocumentStore.Unreachable, DocumentStore.Conflict {
      String text = Files.readString(file);
      check(name, text);
      long number = documentStore().put(name, text, by, System.currentTimeMillis());
      System.out.println("version " + number + " of " + name);
    }
  }

  /** Prints a version. */
  @Command(
      name = "show",
      mixinStandardHelpOptions = true,
      description = "Prints a version, the newest if none is named.")
  static final class Show extends StateServiceCommand {
    @Parameters(index = "0", description = "Name of the document.")
    private String name;

    @Parameters(index = "1", arity = "0..1", description = "Number of the version.")
    private Long number;

    @Override
    void execute() throws MalformedException, IOException, DocumentStore.Unreachable {
      DocumentStore store = documentStore();
      System.out.print(store.text(name, findVersion(store.history(name), name, number)));
    }
  }

  /** Lists versions. */
  @Command(
      name = "history",
      mixinStandardHelpOptions = true,
      description = "Lists the versions that are kept.")
  static final class History extends StateServiceCommand {
    @Parameters(index = "0", description = "Name of the document.")
    private String name;

    @Override
    void execute() throws MalformedException, IOException, DocumentStore.Unreachable {
      for (Version version : documentStore().history(name)) {
        System.out.println(
            version.number()
                + " "
                + Instant.ofEpochMilli(version.createdAtMs())
                + " "
                + version.author());
      }
    }
  }

  /** Stores an earlier version again, as the newest one. */
  @Command(
      name = "revert",
      mixinStandardHelpOptions = true,
      description = "Puts an earlier version again, as the newest one.")
  static final class Revert extends StateServiceCommand {
    @Parameters(index = "0", description = "Name of the document.")
    private String name;

    @Parameters(index = "1", description = "Number of the version.")
    private Long number;

    @Override
    void execute()
        throws MalformedException, IOException, DocumentStore.Unreachable, DocumentStore.Conflict {
      DocumentStore store = documentStore();
      String text = store.text(name, findVersion(store.history(name), name, number));
      check(name, text);
      long newNumber = store.put(name, text, "revert to " + number, System.currentTimeMillis());
      System.out.println("version " + newNumber + " of " + name);
    }
  }

  /** Groups the commands for the settlement calendar. */
  @Command(
      name = "calendar",
      mixinStandardHelpOptions = true,
      description = "The settlement calendar.",
      subcommands = {Nights.class, Status.class})
  static final class CalendarCommand {}

  /** Prints the nights that a calendar file plans. */
  @Command(
      name = "nights",
      mixinStandardHelpOptions = true,
      description = "Prints the nights that a file plans, by business date.")
  static final class Nights implements Callable<Integer> {
    @Parameters(index = "0", description = "The calendar's file (TOML).")
    private Path file;

    @Option(names = "--from", required = true, description = "First business date.")
    private LocalDate from;

    @Option(names = "--to", required = true, description = "Last business date.")
    private LocalDate to;

    @Override
    public Integer call() {
      return exitCode(
          () ->
              CalendarDocument.parse(Files.readString(file))
                  .describeNights(from, to)
                  .forEach(System.out::println));
    }
  }

  /** Groups the commands for migrations of workloads from one side to another. */
  @Command(
      name = "migration",
      mixinStandardHelpOptions = true,
      description = "The migration ledger.",
      subcommands = {MigrationAsk.class, MigrationStatus.class, MigrationHistory.class})
  static final class MigrationCommand {}

  /** Requests a migration step, which the leader carries out. */
  @Command(
      name = "ask",
      mixinStandardHelpOptions = true,
      description = "Asks for start, pause, resume or back; the leader carries it out.")
  static final class MigrationAsk extends StateServiceCommand {
    @Parameters(index = "0", description = "start, pause, resume or back.")
    private MigrationLedger.Request ask;

    @Parameters(index = "1", description = "Name of the workload.")
    private String workload;

    @Option(names = "--by", description = "Who asks, for the history.")
    private String by = System.getProperty("user.name", "");

    @Override
    void execute()
        throws MalformedException, IOException, DocumentStore.Unreachable, DocumentStore.Conflict {
      String key = MigrationLedger.requestKey(workload);
      documentStore().create(workload, key, Cbor.map().put("ask", ask.name()).put("by", by));
      System.out.println("asked; see: migration history " + workload);
    }
  }

  /** Prints the migration phase of each workload. */
  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "Prints where each workload stands.")
  static final class MigrationStatus extends StateServiceCommand {
    @Override
    void execute() throws MalformedException, IOException, DocumentStore.Unreachable {
      printRecords(
          stateClient(),
          Wire.key(Replica.MIGRATIONS, ""),
          record ->
              record.path("phase").asText()
                  + (record.path("paused").asBoolean() ? ", paused" : "")
                  + ", step "
                  + record.path("epoch").asLong()
                  + ", since "
                  + Instant.ofEpochMilli(record.path("since").asLong()));
    }
  }

  /** Prints the migration history of a workload. */
  @Command(
      name = "history",
      mixinStandardHelpOptions = true,
      description = "Prints every step of a workload, with who asked for it.")
  static final class MigrationHistory extends StateServiceCommand {
    @Parameters(index = "0", description = "Name of the workload.")
    private String workload;

    @Override
    void execute() throws MalformedException, IOException, DocumentStore.Unreachable {
      printRecords(
          stateClient(),
          Wire.key(Replica.MIGRATION_HISTORY, workload + "/"),
          record ->
              Instant.ofEpochMilli(record.path("at").asLong())
                  + " from "
                  + record.path("from").asText()
                  + " to "
                  + record.path("to").asText()
                  + " by "
                  + record.path("by").asText());
    }
  }

  /**
   * Prints a line for each record below a prefix, at most one page: the rest of its key, and what
   * the formatter makes of its value.
   */
  private static void printRecords(
      RateLimitedStateClient stateClient, String prefix, Function<JsonNode, String> formatter)
      throws DocumentStore.Unreachable {
    DocumentStore.Answer answer =
        stateClient.call(
            "GET", Wire.KEYS + "?under=" + prefix + "&most=" + Constants.KEY_PAGE_ENTRIES, null);
    for (JsonNode item : answer.body().path("items")) {
      System.out.println(
          item.path("key").asText().substring(prefix.length())
              + " "
              + formatter.apply(item.path("data")));
    }
  }

  /** Prints the recorded nights and their phases. */
  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "Prints the nights that the controllers share, with their phases.")
  static final class Status extends StateServiceCommand {
    @Override
    void execute() throws MalformedException, IOException, DocumentStore.Unreachable {
      printRecords(
          stateClient(),
          Wire.key(Replica.NIGHTS, ""),
          night ->
              night.path("phase").asText()
                  + ", opens "
                  + Instant.ofEpochMilli(night.path("opens").asLong())
                  + ", cut off "
                  + Instant.ofEpochMilli(night.path("cutOff").asLong())
                  + ", version "
                  + night.path("version").asLong());
    }
  }
}
