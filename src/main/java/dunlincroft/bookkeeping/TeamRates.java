package dunlincroft.bookkeeping;

import dunlincroft.Constants;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/** How much each team has submitted lately: old submissions count less and less. */
public final class TeamRates {
  private final Object2DoubleOpenHashMap<String> recent = new Object2DoubleOpenHashMap<>();
  private long lastMs;

  public void count(String team, long nowMs) {
    fade(nowMs);
    recent.addTo(team, 1);
  }

  /** Whether a team has submitted so much more than the others that they are served before it. */
  public boolean floods(String team, long nowMs) {
    fade(nowMs);
    double all = recent.values().doubleStream().sum();
    return recent.size() > 1
        && recent.getDouble(team) > Constants.FLOOD_FACTOR * all / recent.size();
  }

  private void fade(long nowMs) {
    double left = Math.exp((lastMs - nowMs) / (1000 * Constants.FLOOD_S));
    lastMs = nowMs;
    recent.replaceAll((team, n) -> n * left);
    recent.values().removeIf(n -> n < Constants.FLOOD_LEAST);
  }
}
