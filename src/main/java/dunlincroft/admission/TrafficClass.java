package dunlincroft.admission;

/**
 * The submissions of one team and job class, services apart from other jobs: the unit of admission
 * control.
 */
public record TrafficClass(String team, String jobclass, boolean prod) {}
