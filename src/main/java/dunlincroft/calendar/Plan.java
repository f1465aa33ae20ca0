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
 * A settlement calendar as operators write it: markets with their trading days, holidays and half
 * days, and windows that open and are cut off by local time relative to a business date. Checked as
 * a whole; a pure function tells its nights.
 */
public final class Plan {
  /** What happens to a date that is no trading day of the market. */
  enum Roll {
    FOLLOWING,
    PRECEDING,
    /** The following one, unless it is in another month: then the preceding one. */
    MODIFIED_FOLLOWING,
    SKIP
  }

  /** Trading days of the week, single days without trade, and days that end early. */
  record Market(Set<DayOfWeek> days, Set<LocalDate> holidays, Set<LocalDate> halfDays) {
    boolean trades(LocalDate date) {
      return days.contains(date.getDayOfWeek()) && !holidays.contains(date);
    }
  }

  /** A window; {@code weekdays} or {@code dayOfMonth} say on which dates, before rolling. */
  record Window(
      String name,
      String market,
      Selector select,
      Set<DayOfWeek> weekdays,
      int dayOfMonth,
      LocalTime opens,
      LocalTime opensOnHalfDays,
      LocalTime cutOff,
      Roll roll,
      CutOffAction end) {}

  /** The last day of a month, as a day of the month. */
  private static final int LAST = -1;

  /** No day of the month is named. */
  private static final int ANY = 0;

  /** Days that a date may be rolled by: longer closures are faults of the document. */
  private static final int ROLL_MOST = 14;

  private final ZoneId zone;
  private final Map<String, Market> markets;
  private final List<Window> windows;

  private Plan(ZoneId zone, Map<String, Market> markets, List<Window> windows) {
    this.zone = zone;
    this.markets = markets;
    this.windows = windows;
  }

  // ---- reading ----

  /** Reads a document; the message of a fault has a line for each of them, with its path. */
  public static Plan parse(String toml) throws MalformedException {
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

  /** Collects every fault of a document instead of stopping at the first. */
  private static final class Reader {
    private final List<String> faults = new ArrayList<>();

    Plan read(JsonNode root) throws MalformedException {
      unknown(root, "", Set.of("zone", "markets", "windows"));
      ZoneId zone = value(root, "", "zone", ZoneId::of, null);
      Map<String, Market> markets = new LinkedHashMap<>();
      for (Iterator<Map.Entry<String, JsonNode>> it = root.path("markets").fields();
          it.hasNext(); ) {
        Map.Entry<String, JsonNode> each = it.next();
        markets.put(each.getKey(), market(each.getValue(), "markets." + each.getKey() + "."));
      }
      List<Window> windows = new ArrayList<>();
      JsonNode list = root.path("windows");
      if (!list.isArray() || list.isEmpty()) {
        faults.add("windows: there must be one at the least");
      }
      for (int i = 0; i < list.size(); i++) {
        windows.add(window(list.get(i), "windows[" + i + "].", markets));
      }
      distinct(windows);
      if (!faults.isEmpty()) {
        throw new MalformedException(String.join("\n", faults));
      }
      return new Plan(zone, markets, windows);
    }

    /** No job may be in two windows: which of their cut-offs holds would be a matter of luck. */
    private void distinct(List<Window> windows) {
      for (int i = 0; i < windows.size(); i++) {
        for (int k = 0; k < i; k++) {
          if (windows.get(i).name.equals(windows.get(k).name)) {
            faults.add("windows[" + i + "].name: " + windows.get(i).name + " is there twice");
          } else if (windows.get(i).select.overlaps(windows.get(k).select)) {
            faults.add(
                "windows["
                    + i
                    + "].select: a job may be in this window and in "
                    + windows.get(k).name);
          }
        }
      }
    }

    private Market market(JsonNode map, String path) {
      unknown(map, path, Set.of("days", "holidays", "half_days"));
      Set<DayOfWeek> days = EnumSet.noneOf(DayOfWeek.class);
      days.addAll(values(map, path, "days", Reader::weekday));
      if (days.isEmpty()) {
        days.addAll(EnumSet.range(DayOfWeek.MONDAY, DayOfWeek.FRIDAY));
      }
      Set<LocalDate> holidays = new TreeSet<>(values(map, path, "holidays", LocalDate::parse));
      Set<LocalDate> halfDays = new TreeSet<>(values(map, path, "half_days", LocalDate::parse));
      for (LocalDate half : halfDays) {
        if (holidays.contains(half) || !days.contains(half.getDayOfWeek())) {
          faults.add(path + "half_days: " + half + " is no trading day");
        }
      }
      return new Market(days, holidays, halfDays);
    }

    private Window window(JsonNode map, String path, Map<String, Market> markets) {
      unknown(
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
      String name = text(value(map, path, "name", Reader::name, null));
      String market = text(value(map, path, "market", text -> text, null));
      if (!markets.containsKey(market)) {
        faults.add(path + "market: there is no market " + market);
      }
      JsonNode chosen = map.path("select");
      unknown(chosen, path + "select.", Set.of("class", "team", "image"));
      Selector select =
          new Selector(
              value(chosen, path + "select.", "class", text -> text, ""),
              value(chosen, path + "select.", "team", text -> text, ""),
              value(chosen, path + "select.", "image", text -> text, ""));
      select = new Selector(none(select.jobclass()), none(select.team()), none(select.image()));
      if (select.equals(new Selector(null, null, null))) {
        faults.add(path + "select: must name a class, a team or an image");
      }
      Set<DayOfWeek> weekdays = EnumSet.noneOf(DayOfWeek.class);
      weekdays.addAll(values(map, path, "weekdays", Reader::weekday));
      int dayOfMonth = value(map, path, "day_of_month", Integer::valueOf, ANY);
      if (dayOfMonth < LAST || dayOfMonth > 31 || (dayOfMonth != ANY && !weekdays.isEmpty())) {
        faults.add(path + "day_of_month: from 1 to 31, or -1 for the last, and without weekdays");
      }
      LocalTime opens = value(map, path, "opens", LocalTime::parse, null);
      LocalTime cutOff = value(map, path, "cut_off", LocalTime::parse, null);
      if (opens != null && opens.equals(cutOff)) {
        faults.add(path + "cut_off: the window is as long as it is short: opens and cut_off agree");
      }
      LocalTime half =
          map.has("opens_on_half_days")
              ? value(map, path, "opens_on_half_days", LocalTime::parse, null)
              : opens;
      Roll roll =
          value(map, path, "roll", text -> Roll.valueOf(upper(text)), Roll.MODIFIED_FOLLOWING);
      CutOffAction end =
          value(
              map,
              path,
              "at_cut_off",
              text -> CutOffAction.valueOf(upper(text)),
              CutOffAction.SAVE);
      return new Window(name, market, select, weekdays, dayOfMonth, opens, half, cutOff, roll, end);
    }

    private static String upper(String text) {
      return text.toUpperCase(Locale.ROOT);
    }

    private static String text(String orNull) {
      return orNull == null ? "" : orNull;
    }

    private static String none(String text) {
      return text == null || text.isEmpty() ? null : text;
    }

    private static String name(String text) {
      if (!text.matches("[a-z0-9][a-z0-9-]{0,39}")) {
        throw new IllegalArgumentException("small letters, digits and dashes, 40 at the most");
      }
      return text;
    }

    private static DayOfWeek weekday(String text) {
      for (DayOfWeek day : DayOfWeek.values()) {
        if (day.name().startsWith(upper(text)) && text.length() >= 3) {
          return day;
        }
      }
      throw new IllegalArgumentException(text + " is no day of the week");
    }

    private void unknown(JsonNode map, String path, Set<String> known) {
      map.fieldNames()
          .forEachRemaining(
              name -> {
                if (!known.contains(name)) {
                  faults.add(path + name + ": there is no such field");
                }
              });
    }

    /** A field that must be there when {@code preset} is null. */
    private <T> T value(
        JsonNode map, String path, String field, Function<String, T> read, T preset) {
      JsonNode node = map.path(field);
      if (node.isMissingNode()) {
        if (preset == null) {
          faults.add(path + field + ": is missing");
        }
        return preset;
      }
      return one(node, path + field, read, preset);
    }

    private <T> T one(JsonNode node, String path, Function<String, T> read, T other) {
      try {
        if (node.isValueNode()) {
          return read.apply(node.asText());
        }
        faults.add(path + ": must be one value");
      } catch (DateTimeException | IllegalArgumentException e) {
        faults.add(path + ": " + node.asText() + ": " + e.getMessage());
      }
      return other;
    }

    private <T> List<T> values(JsonNode map, String path, String field, Function<String, T> read) {
      List<T> values = new ArrayList<>();
      JsonNode list = map.path(field);
      for (int i = 0; i < list.size(); i++) {
        T value = one(list.get(i), path + field + "[" + i + "]", read, null);
        if (value != null) {
          values.add(value);
        }
      }
      return values;
    }
  }

  // ---- nights ----

  /** The window that a job is in, or null. */
  Window windowOf(JobSpec spec) {
    for (Window window : windows) {
      if (window.select.matches(spec)) {
        return window;
      }
    }
    return null;
  }

  /** All nights of business dates from one to another, both included, in the order of opening. */
  List<Night> nights(LocalDate from, LocalDate to, long version) {
    List<Night> nights = new ArrayList<>();
    for (Window window : windows) {
      Set<LocalDate> dates = new TreeSet<>();
      // Rolled dates may come from outside.
      for (LocalDate date = from.minusDays(ROLL_MOST);
          !date.isAfter(to.plusDays(ROLL_MOST));
          date = date.plusDays(1)) {
        if (named(window, date)) {
          LocalDate rolled = rolled(window, date);
          if (rolled != null && !rolled.isBefore(from) && !rolled.isAfter(to)) {
            dates.add(rolled); // Two that are rolled onto one day are one night.
          }
        }
      }
      dates.forEach(date -> nights.add(night(window, date, version)));
    }
    nights.sort(Comparator.comparingLong(Night::opensMs).thenComparing(Night::name));
    return nights;
  }

  private static boolean named(Window window, LocalDate date) {
    if (window.dayOfMonth == ANY) {
      return window.weekdays.isEmpty() || window.weekdays.contains(date.getDayOfWeek());
    }
    int length = YearMonth.from(date).lengthOfMonth();
    int day = window.dayOfMonth == LAST ? length : Math.min(window.dayOfMonth, length);
    return date.getDayOfMonth() == day;
  }

  /** The trading day that a date stands for, or null. */
  private LocalDate rolled(Window window, LocalDate date) {
    Market market = markets.get(window.market);
    if (market.trades(date)) {
      return date;
    }
    // A window of every day has its nights on trading days; only named dates are rolled.
    if (window.roll == Roll.SKIP || (window.dayOfMonth == ANY && window.weekdays.isEmpty())) {
      return null;
    }
    LocalDate following = next(market, date, 1);
    if (window.roll == Roll.PRECEDING
        || (window.roll == Roll.MODIFIED_FOLLOWING
            && (following == null || following.getMonth() != date.getMonth()))) {
      return next(market, date, -1);
    }
    return following;
  }

  private static LocalDate next(Market market, LocalDate from, int step) {
    for (int days = 1; days <= ROLL_MOST; days++) {
      LocalDate date = from.plusDays((long) step * days);
      if (market.trades(date)) {
        return date;
      }
    }
    return null;
  }

  private Night night(Window window, LocalDate date, long version) {
    boolean half = markets.get(window.market).halfDays.contains(date);
    LocalTime opens = half ? window.opensOnHalfDays : window.opens;
    LocalDate last = window.cutOff.isAfter(opens) ? date : date.plusDays(1);
    return new Night(
        window.name,
        date,
        at(date.atTime(opens), true),
        at(last.atTime(window.cutOff), false),
        window.select,
        window.end,
        version,
        Night.Phase.PLANNED);
  }

  /**
   * A local time as a moment. When clocks change it may not exist or come twice: then an opening is
   * the later reading and a cut-off the earlier one, so that no night is longer than it says.
   */
  private long at(LocalDateTime local, boolean opening) {
    ZoneOffsetTransition change = zone.getRules().getTransition(local);
    if (change == null) {
      return local.atZone(zone).toInstant().toEpochMilli();
    }
    if (change.isGap()) {
      return change.getInstant().toEpochMilli();
    }
    return local
        .toInstant(opening ? change.getOffsetAfter() : change.getOffsetBefore())
        .toEpochMilli();
  }

  /** The date on which a moment falls here. */
  LocalDate dateOf(long wallMs) {
    return Instant.ofEpochMilli(wallMs).atZone(zone).toLocalDate();
  }

  /** One line for each night, for operators. */
  public List<String> lines(LocalDate from, LocalDate to) {
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
