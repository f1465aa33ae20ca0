package dunlincroft.calendar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dunlincroft.protocol.MalformedException;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.util.List;
import java.util.Locale;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CalendarDocumentTest {
  private static String document(String zone, String marketFields, String windowFields) {
    return """
        zone = "%s"
        [markets.m]
        %s
        [[windows]]
        name = "w"
        market = "m"
        select = { class = "c" }
        %s
        """
        .formatted(zone, marketFields, windowFields);
  }

  private static List<Night> nights(String document, String from, String to)
      throws MalformedException {
    return CalendarDocument.parse(document).nights(LocalDate.parse(from), LocalDate.parse(to), 1);
  }

  private static String dates(List<Night> nights) {
    return String.join(" ", nights.stream().map(night -> night.date().toString()).toList());
  }

  /**
   * At a clock change a local time may not exist (01:30 on 29 March 2026 in London) or occur twice
   * (on 25 October): a cut-off is the earlier reading, an opening the later one.
   */
  @ParameterizedTest
  @CsvSource({
    // opens, cut-off, business date, opening and cut-off in UTC
    "22:00, 01:30, 2026-03-28, 2026-03-28T22:00:00Z, 2026-03-29T01:00:00Z",
    "01:30, 05:00, 2026-03-29, 2026-03-29T01:00:00Z, 2026-03-29T04:00:00Z",
    "22:00, 01:30, 2026-10-24, 2026-10-24T21:00:00Z, 2026-10-25T00:30:00Z",
    "01:30, 05:00, 2026-10-25, 2026-10-25T01:30:00Z, 2026-10-25T05:00:00Z",
    "22:00, 06:00, 2026-12-02, 2026-12-02T22:00:00Z, 2026-12-03T06:00:00Z",
    "12:00, 18:00, 2026-07-01, 2026-07-01T11:00:00Z, 2026-07-01T17:00:00Z"
  })
  void nightsAreDefinedAcrossClockChanges(
      String opens, String cutOff, String date, Instant from, Instant to)
      throws MalformedException {
    String week = "days = [\"mon\",\"tue\",\"wed\",\"thu\",\"fri\",\"sat\",\"sun\"]";
    String window = "opens = \"%s\"\ncut_off = \"%s\"".formatted(opens, cutOff);
    List<Night> nights = nights(document("Europe/London", week, window), date, date);
    assertThat(nights).hasSize(1);
    assertThat(Instant.ofEpochMilli(nights.get(0).opensMs())).isEqualTo(from);
    assertThat(Instant.ofEpochMilli(nights.get(0).cutOffMs())).isEqualTo(to);
  }

  /** 31 January 2026 is a Saturday, and the Monday after it, 2 February, is a holiday. */
  @ParameterizedTest
  @CsvSource({
    "following, 2026-02-03",
    "preceding, 2026-01-30",
    "modified_following, 2026-01-30",
    "skip, ''"
  })
  void datesOtherThanTradingDaysAreRolled(String roll, String date) throws MalformedException {
    String window =
        "day_of_month = -1\nopens = \"21:00\"\ncut_off = \"05:00\"\nroll = \"%s\"".formatted(roll);
    String document = document("Africa/Nairobi", "holidays = [\"2026-02-02\"]", window);
    assertThat(dates(nights(document, "2026-01-15", "2026-02-15"))).isEqualTo(date);
  }

  @Test
  void halfDaysOpenEarlierAndHolidaysHaveNoNight() throws MalformedException {
    String market = "holidays = [\"2026-12-25\"]\nhalf_days = [\"2026-12-24\"]";
    String window = "opens = \"17:00\"\nopens_on_half_days = \"12:30\"\ncut_off = \"06:00\"";
    List<Night> nights =
        nights(document("Europe/London", market, window), "2026-12-23", "2026-12-28");
    assertThat(dates(nights)).isEqualTo("2026-12-23 2026-12-24 2026-12-28");
    assertThat(Instant.ofEpochMilli(nights.get(1).opensMs())).isEqualTo("2026-12-24T12:30:00Z");
  }

  @Test
  void allErrorsAreReportedTogether() {
    String faulty =
        """
        zone = "Europe/Atlantis"
        colour = "red"
        [markets.m]
        days = ["mon", "someday"]
        half_days = ["2026-12-06"]
        [[windows]]
        name = "A night"
        market = "n"
        select = { class = "c" }
        opens = "25:00"
        cut_off = "06:00"
        [[windows]]
        name = "b"
        market = "m"
        select = { team = "t" }
        opens = "06:00"
        cut_off = "06:00"
        roll = "sideways"
        """;
    assertThatThrownBy(() -> CalendarDocument.parse(faulty))
        .isInstanceOf(MalformedException.class)
        .extracting(Throwable::getMessage)
        .asString()
        .contains(
            "zone: ",
            "colour: ",
            "markets.m.days[1]: ",
            "markets.m.half_days: ",
            "windows[0].name: ",
            "windows[0].market: ",
            "windows[0].opens: ",
            "windows[1].cut_off: ",
            "windows[1].roll: ",
            "windows[1].select: ");
    assertThatThrownBy(() -> CalendarDocument.parse("zone = ")).hasMessageContaining("line 1");
  }

  @Provide
  Arbitrary<String> zones() {
    return Arbitraries.of("Europe/London", "Africa/Nairobi", "America/New_York", "Asia/Kathmandu");
  }

  /** Over eight years of clock changes the length of nights differs by at most an hour. */
  @Property(seed = "31", tries = 200)
  void nightsHaveTheConfiguredLength(
      @ForAll("zones") String zone,
      @ForAll @IntRange(max = 1439) int opens,
      @ForAll @IntRange(max = 1439) int cutOff,
      @ForAll @IntRange(max = 3000) int day)
      throws MalformedException {
    if (opens == cutOff) {
      return;
    }
    String window = "opens = \"%s\"\ncut_off = \"%s\"".formatted(time(opens), time(cutOff));
    String week = "days = [\"mon\",\"tue\",\"wed\",\"thu\",\"fri\",\"sat\",\"sun\"]";
    LocalDate from = LocalDate.of(2026, 1, 1).plusDays(day);
    List<Night> nights =
        CalendarDocument.parse(document(zone, week, window)).nights(from, from.plusDays(6), 1);
    assertThat(nights).hasSize(7);
    long length = Math.floorMod(cutOff - opens, 1440);
    for (Night night : nights) {
      long minutes = Duration.ofMillis(night.cutOffMs() - night.opensMs()).toMinutes();
      // A clock change alters the length by at most an hour.
      assertThat(minutes).isBetween(Math.max(-60, length - 60), length + 60);
    }
  }

  private static String time(int minute) {
    return String.format(Locale.ROOT, "%02d:%02d", minute / 60, minute % 60);
  }
}
