package dunlincroft.transport;

import java.util.List;

/**
 * What controllers tell each other, as advice only: who is there, since when it has heard nothing
 * from the state service, what it wants of that service's rates, in requests and changes a second,
 * how often it has refuted a suspicion, and what it hears of the other controllers.
 */
public record Beat(
    String node,
    long incarnation,
    long stateSilentMs,
    double requests,
    double writes,
    long count,
    List<Hearing> hearings) {

  /**
   * What the sender hears of another controller: for how many milliseconds it has been silent, the
   * highest count of its refutations that the sender knows, whether the sender suspects it, or
   * knows somebody who does at that count, and whether its connections are refused.
   */
  public record Hearing(
      String node,
      long silentMs,
      long count,
      boolean suspected,
      boolean rumoured,
      boolean refused) {}
}
