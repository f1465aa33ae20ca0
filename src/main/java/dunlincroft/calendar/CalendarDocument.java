package dunlincroft.calendar;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import dunlincroft.conditions.Condition.CutOffAction;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.YearMonth;
import java.time.ZoneId;
import java.time.zone.ZoneOffsetTransition;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * A settlement calendar as written by operators (TOML): markets with their trading days, holidays
 * and half days, and windows that open and are cut off at local times on a business date or the day
 * after it. The document is validated as a whole. The nights of a range of dates are a pure
 * function of it.
 */
public final class CalendarDocument {
  /** Which trading day replaces a date that is not a trading day of the market. */
  enum Roll {
    FOLLOWING,
    PRECEDING,
    /** The following trading day, or the preceding one if the following is in another month. */
    MODIFIED_FOLLOWING,
    /** The date is omitted. */
    SKIP
  }

  /**
   * The trading days of a market.
   *
   * @param tradingDays trading days of the week
   * @param holidays dates on which the market is closed
   * @param halfDays trading days on which the market closes early
   */
  record Market(Set<DayOfWeek> tradingDays, Set<LocalDate> holidays, Set<LocalDate> halfDays) {
    boolean isTradingDay(LocalDate date) {
      return tradingDays.contains(date.getDayOfWeek()) && !holidays.contains(date);
    }
  }

  /**
   * A recurring window of time to which the jobs that it selects are confined.
   *
   * @param market name of the market whose trading days apply
   * @param weekdays days of the week on which the window occurs; empty for all
   * @param dayOfMonth day of the month on which the window occurs instead, before rolling
   * @param opens local time of opening
   * @param opensOnHalfDays local time of opening on half days
   * @param cutOff local time of the cut-off; on the next day if not after the opening
   * @param roll what happens on dates that are not trading days
   * @param cutOffAction what happens to tasks that still run at the cut-off
   */
  record Window(
      String name,
      String market,
      JobSelector selector,
      Set<DayOfWeek> weekdays,
      int dayOfMonth,
      LocalTime opens,
      LocalTime opensOnHalfDays,
      LocalTime cutOff,
      Roll roll,
      CutOffAction cutOffAction) {}

  /** Value of dayOfMonth that denotes the last day of the month. */
  private static final int LAST_DAY_OF_MONTH = -1;

  /** Value of dayOfMonth if the document gives none. */
  private static final int NO_DAY_OF_MONTH = 0;

  /** Maximum number of days by which a date is rolled; longer closures are document errors. */
  private static final int MAX_ROLL_DAYS = 14;

  private final ZoneId zone;
  private final Map<String, Market> markets;
  private final List<Window> windows;

  private CalendarDocument(ZoneId zone, Map<String, Market> markets, List<Window> windows) {
    this.zone = zone;
    this.markets = markets;
    this.windows = windows;
  }

  // ---- parsing ----

  /** Parses a document. The exception's message has one line for each error, with its path. */
  public static CalendarDocument parse(String toml) throws MalformedException {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(toml);
    } catch (JsonProcessingException e) {
      throw new MalformedException(
          "not TOML at line "
              + e.getLocation().getLineNr()
              + ", column "
              + e.getLocation().getColumnNr()
              + ": "
              + e.getOriginalMessage());
    }
    return new Reader().read(root);
  }

  /** Parser that collects all errors of a document instead of stopping at the first one. */
  private static final class Reader {
    private final List<String> errors = new ArrayList<>();

    CalendarDocument read(JsonNode root) throws MalformedException {
      rejectUnknownFields(root, "", Set.of("zone", "markets", "windows"));
      ZoneId zone = value(root, "", "zone", ZoneId::of, null);
      Map<String, Market> markets = new LinkedHashMap<>();
      for (Iterator<Map.Entry<String, JsonNode>> it = root.path("markets").fields();
          it.hasNext(); ) {
        Map.Entry<String, JsonNode> entry = it.next();
        markets.put(entry.getKey(), market(entry.getValue(), "markets." + entry.getKey() + "."));
      }
      List<Window> windows = new ArrayList<>();
      JsonNode list = root.path("windows");
      if (!list.isArray() || list.isEmpty()) {
        errors.add("windows: at least one is required");
      }
      for (int i = 0; i < list.size(); i++) {
        windows.add(window(list.get(i), "windows[" + i + "].", markets));
      }
      checkDistinct(windows);
      if (!errors.isEmpty()) {
        throw new MalformedException(String.join("\n", errors));
      }
      return new CalendarDocument(zone, markets, windows);
    }

    /**
     * Checks that names of windows are unique and that no job can belong to two windows: it would
     * be undefined which cut-off applies.
     */
    private void checkDistinct(List<Window> windows) {
      for (int i = 0; i < windows.size(); i++) {
        for (int k = 0; k < i; k++) {
          if (windows.get(i).name.equals(windows.get(k).name)) {
            errors.add(
                "windows[" + i + "].name: " + windows.get(i).name + " is used more than once");
          } else if (windows.get(i).selector.overlaps(windows.get(k).selector)) {
            errors.add(
                "windows["
                    + i
                    + "].select: a job could match both this window and "
                    + windows.get(k).name);
          }
        }
      }
    }

    private Market market(JsonNode map, String path) {
      rejectUnknownFields(map, path, Set.of("days", "holidays", "half_days"));
      Set<DayOfWeek> days = EnumSet.noneOf(DayOfWeek.class);
      days.addAll(values(map, path, "days", Reader::weekday));
      if (days.isEmpty()) {
        days.addAll(EnumSet.range(DayOfWeek.MONDAY, DayOfWeek.FRIDAY));
      }
      Set<LocalDate> holidays = new TreeSet<>(values(map, path, "holidays", LocalDate::parse));
      Set<LocalDate> halfDays = new TreeSet<>(values(map, path, "half_days", LocalDate::parse));
      for (LocalDate halfDay : halfDays) {
        if (holidays.contains(halfDay) || !days.contains(halfDay.getDayOfWeek())) {
          errors.add(path + "half_days: " + halfDay + " is not a trading day");
        }
      }
      return new Market(days, holidays, halfDays);
    }

    private Window window(JsonNode map, String path, Map<String, Market> markets) {
      rejectUnknownFields(
          map,
          path,
          Set.of(
              "name",
              "market",
              "select",
              "weekdays",
              "day_of_month",
              "opens",
              "opens_on_half_days",
              "cut_off",
              "roll",
              "at_cut_off"));
      String name = emptyIfNull(value(map, path, "name", Reader::windowName, null));
      String market = emptyIfNull(value(map, path, "market", text -> text, null));
      if (!markets.containsKey(market)) {
        errors.add(path + "market: unknown market " + market);
      }
      JsonNode select = map.path("select");
      rejectUnknownFields(select, path + "select.", Set.of("class", "team", "image"));
      JobSelector selector =
          new JobSelector(
              value(select, path + "select.", "class", text -> text, ""),
              value(select, path + "select.", "team", text -> text, ""),
              value(select, path + "select.", "image", text -> text, ""));
      selector =
          new JobSelector(
              nullIfEmpty(selector.jobclass()),
              nullIfEmpty(selector.team()),
              nullIfEmpty(selector.image()));
      if (selector.equals(new JobSelector(null, null, null))) {
        errors.add(path + "select: requires a class, a team or an image");
      }
      Set<DayOfWeek> weekdays = EnumSet.noneOf(DayOfWeek.class);
      weekdays.addAll(values(map, path, "weekdays", Reader::weekday));
      int dayOfMonth = value(map, path, "day_of_month", Integer::valueOf, NO_DAY_OF_MONTH);
      if (dayOfMonth < LAST_DAY_OF_MONTH
          || dayOfMonth > 31
          || (dayOfMonth != NO_DAY_OF_MONTH && !weekdays.isEmpty())) {
        errors.add(
            path
                + "day_of_month: must be from 1 to 31, or -1 for the last day, and excludes weekdays");
      }
      LocalTime opens = value(map, path, "opens", LocalTime::parse, null);
      LocalTime cutOff = value(map, path, "cut_off", LocalTime::parse, null);
      if (opens != null && opens.equals(cutOff)) {
        errors.add(path + "cut_off: must differ from opens");
      }
      LocalTime opensOnHalfDays =
          map.has("opens_on_half_days")
              ? value(map, path, "opens_on_half_days", LocalTime::parse, null)
              : opens;
      Roll roll =
          value(map, path, "roll", text -> Roll.valueOf(upper(text)), Roll.MODIFIED_FOLLOWING);
      CutOffAction cutOffAction =
          value(
              map,
              path,
              "at_cut_off",
              text -> CutOffAction.valueOf(upper(text)),
              CutOffAction.SAVE);
      return new Window(
          name,
          market,
          selector,
          weekdays,
          dayOfMonth,
          opens,
          opensOnHalfDays,
          cutOff,
          roll,
          cutOffAction);
    }

    private static String upper(String text) {
      return text.toUpperCase(Locale.ROOT);
    }

    private static String emptyIfNull(String text) {
      return text == null ? "" : text;
    }

    private static String nullIfEmpty(String text) {
      return text == null || text.isEmpty() ? null : text;
    }

    private static String windowName(String text) {
      if (!text.matches("[a-z0-9][a-z0-9-]{0,39}")) {
        throw new IllegalArgumentException("must be 1 to 40 lower-case letters, digits and dashes");
      }
      return text;
    }

    /** Day of the week by its English name or the first three or more letters of it. */
    private static DayOfWeek weekday(String text) {
      for (DayOfWeek day : DayOfWeek.values()) {
        if (day.name().startsWith(upper(text)) && text.length() >= 3) {
          return day;
        }
      }
      throw new IllegalArgumentException(text + " is not a day of the week");
    }

    private void rejectUnknownFields(JsonNode map, String path, Set<String> known) {
      map.fieldNames()
          .forEachRemaining(
              name -> {
                if (!known.contains(name)) {
                  errors.add(path + name + ": unknown field");
                }
              });
    }

    /** Value of a field; the field is required if {@code defaultValue} is null. */
    private <T> T value(
        JsonNode map, String path, String field, Function<String, T> parser, T defaultValue) {
      JsonNode node = map.path(field);
      if (node.isMissingNode()) {
        if (defaultValue == null) {
          errors.add(path + field + ": is required");
        }
        return defaultValue;
      }
      return parseValue(node, path + field, parser, defaultValue);
    }

    /** Parses a node; records an error and returns the default value if it is invalid. */
    private <T> T parseValue(
        JsonNode node, String path, Function<String, T> parser, T defaultValue) {
      try {
        if (node.isValueNode()) {
          return parser.apply(node.asText());
        }
        errors.add(path + ": must be a single value");
      } catch (DateTimeException | IllegalArgumentException e) {
        errors.add(path + ": " + node.asText() + ": " + e.getMessage());
      }
      return defaultValue;
    }

    private <T> List<T> values(
        JsonNode map, String path, String field, Function<String, T> parser) {
      List<T> values = new ArrayList<>();
      JsonNode list = map.path(field);
      for (int i = 0; i < list.size(); i++) {
        T value = parseValue(list.get(i), path + field + "[" + i + "]", parser, null);
        if (value != null) {
          values.add(value);
        }
      }
      return values;
    }
  }

  // ---- nights ----

  /** The window that a job belongs to, or null. */
  Window windowOf(JobSpec spec) {
    for (Window window : windows) {
      if (window.selector.matches(spec)) {
        return window;
      }
    }
    return null;
  }

  /**
   * All nights in a range of business dates, both ends included, in the order of opening.
   *
   * @param version document version to be recorded in the nights
   */
  List<Night> nights(LocalDate from, LocalDate to, long version) {
    List<Night> nights = new ArrayList<>();
    for (Window window : windows) {
      Set<LocalDate> dates = new TreeSet<>();
      // Dates outside the range may be rolled into it.
      for (LocalDate date = from.minusDays(MAX_ROLL_DAYS);
          !date.isAfter(to.plusDays(MAX_ROLL_DAYS));
          date = date.plusDays(1)) {
        if (isNominalDate(window, date)) {
          LocalDate businessDate = businessDate(window, date);
          if (businessDate != null && !businessDate.isBefore(from) && !businessDate.isAfter(to)) {
            dates.add(businessDate); // Dates that are rolled to the same day form one night.
          }
        }
      }
      dates.forEach(date -> nights.add(night(window, date, version)));
    }
    nights.sort(Comparator.comparingLong(Night::opensMs).thenComparing(Night::name));
    return nights;
  }

  /** Whether a window occurs on a date before rolling. */
  private static boolean isNominalDate(Window window, LocalDate date) {
    if (window.dayOfMonth == NO_DAY_OF_MONTH) {
      return window.weekdays.isEmpty() || window.weekdays.contains(date.getDayOfWeek());
    }
    int length = YearMonth.from(date).lengthOfMonth();
    int day = window.dayOfMonth == LAST_DAY_OF_MONTH ? length : Math.min(window.dayOfMonth, length);
    return date.getDayOfMonth() == day;
  }

  /** The trading day to which a date is rolled, or null if it is omitted. */
  private LocalDate businessDate(Window window, LocalDate date) {
    Market market = markets.get(window.market);
    if (market.isTradingDay(date)) {
      return date;
    }
    // A daily window occurs on trading days only; just weekdays and days of the month are rolled.
    if (window.roll == Roll.SKIP
        || (window.dayOfMonth == NO_DAY_OF_MONTH && window.weekdays.isEmpty())) {
      return null;
    }
    LocalDate following = nearestTradingDay(market, date, 1);
    if (window.roll == Roll.PRECEDING
        || (window.roll == Roll.MODIFIED_FOLLOWING
            && (following == null || following.getMonth() != date.getMonth()))) {
      return nearestTradingDay(market, date, -1);
    }
    return following;
  }

  /** The nearest trading day after (step 1) or before (step -1) a date; null if too far away. */
  private static LocalDate nearestTradingDay(Market market, LocalDate from, int step) {
    for (int days = 1; days <= MAX_ROLL_DAYS; days++) {
      LocalDate date = from.plusDays((long) step * days);
      if (market.isTradingDay(date)) {
        return date;
      }
    }
    return null;
  }

  private Night night(Window window, LocalDate date, long version) {
    boolean halfDay = markets.get(window.market).halfDays.contains(date);
    LocalTime opens = halfDay ? window.opensOnHalfDays : window.opens;
    LocalDate cutOffDate = window.cutOff.isAfter(opens) ? date : date.plusDays(1);
    return new Night(
        window.name,
        date,
        toEpochMillis(date.atTime(opens), true),
        toEpochMillis(cutOffDate.atTime(window.cutOff), false),
        window.selector,
        window.cutOffAction,
        version,
        Night.Phase.PLANNED);
  }

  /**
   * Converts a local time to milliseconds since the epoch. At a clock change the local time may not
   * exist, and then the moment of the change is used; or it may occur twice, and then an opening is
   * the later occurrence and a cut-off the earlier one, so that the ambiguity never lengthens a
   * night.
   */
  private long toEpochMillis(LocalDateTime local, boolean opening) {
    ZoneOffsetTransition transition = zone.getRules().getTransition(local);
    if (transition == null) {
      return local.atZone(zone).toInstant().toEpochMilli();
    }
    if (transition.isGap()) {
      return transition.getInstant().toEpochMilli();
    }
    return local
        .toInstant(opening ? transition.getOffsetAfter() : transition.getOffsetBefore())
        .toEpochMilli();
  }

  /** The local date at a wall clock time. */
  LocalDate dateOf(long wallMs) {
    return Instant.ofEpochMilli(wallMs).atZone(zone).toLocalDate();
  }

  /** One line of text for each night in a range of business dates, for operators. */
  public List<String> describeNights(LocalDate from, LocalDate to) {
    return nights(from, to, 0).stream()
        .map(
            night ->
                night.name()
                    + " opens "
                    + Instant.ofEpochMilli(night.opensMs()).atZone(zone)
                    + " cut off "
                    + Instant.ofEpochMilli(night.cutOffMs()).atZone(zone))
        .toList();
  }
}
