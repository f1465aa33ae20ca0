package dunlincroft.transport;

/**
 * What controllers tell each other, as advice only: who is there, since when it has heard nothing
 * from the state service, and what it wants of that service's rates, in requests and changes a
 * second.
 */
public record Beat(
    String node, long incarnation, long stateSilentMs, double requests, double writes) {}
