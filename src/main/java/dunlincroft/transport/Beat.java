package dunlincroft.transport;

import java.util.List;

/**
 * What controllers tell each other, as advice only: who is there, since when it has heard nothing
 * from the state service, what it wants of that service's rates, in requests and changes a second,
 * and from which controllers it has heard nothing for a while.
 */
public record Beat(
    String node,
    long incarnation,
    long stateSilentMs,
    double requests,
    double writes,
    List<String> unheard) {}
