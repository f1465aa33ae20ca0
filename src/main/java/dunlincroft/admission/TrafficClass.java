package dunlincroft.admission;

/** The jobs of one class of one team: what admission tells apart. */
public record TrafficClass(String team, String jobclass, boolean prod) {}
