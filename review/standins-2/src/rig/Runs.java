package rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** What is on which machine, with the checks that need nothing else. */
final class Runs {
  private final Map<String, Set<String>> places = new HashMap<>();
  private final Map<String, Integer> starts = new HashMap<>();
  final List<String> broken = new ArrayList<>();
  private final World world;

  Runs(World world) {
    this.world = world;
  }

  synchronized void came(String piece, String host, String zone, boolean lendable) {
    Set<String> hosts = places.computeIfAbsent(piece, key -> new TreeSet<>());
    if (!hosts.isEmpty()) {
      broken("ran_twice: " + piece + " starts on " + host + " while on " + hosts);
    }
    hosts.add(host);
    starts.merge(piece, 1, Integer::sum);
    Job job = world.jobs.get(piece.substring(0, piece.lastIndexOf('/')));
    if ((job.hall != null && !job.hall.equals(zone)) || (lendable && !job.lendable)) {
      broken("wrong_place: " + piece + " starts on " + host);
    }
    double used = 0;
    for (Map.Entry<String, Set<String>> entry : places.entrySet()) {
      Job other = world.jobs.get(entry.getKey().substring(0, entry.getKey().lastIndexOf('/')));
      used += other.team.equals(job.team) ? entry.getValue().size() * other.cpus : 0;
    }
    if (used > world.limitOf(job.team) + 1e-6) {
      broken("quota: team " + job.team + " uses " + used);
    }
    Double told = world.cancelled.get(job.ref);
    if (told != null && Record.now() - told > world.cancelS) {
      broken("ran_cancelled: " + piece + " starts " + (Record.now() - told) + " s after");
    }
  }

  synchronized void left(String piece, String host, String why) {
    places.getOrDefault(piece, new TreeSet<>()).remove(host);
  }

  synchronized void broken(String what) {
    broken.add(what);
    Record.say("BROKEN %s", what);
  }

  synchronized int starts(String piece) {
    return starts.getOrDefault(piece, 0);
  }

  synchronized int inZone(String ref, String zone, World world) {
    int n = 0;
    for (Map.Entry<String, Set<String>> entry : places.entrySet()) {
      if (entry.getKey().startsWith(ref + "/")) {
        for (String host : entry.getValue()) {
          n += world.cloud.hosts.stream().anyMatch(h -> h.ref.equals(host) && h.zone.equals(zone)) ? 1 : 0;
        }
      }
    }
    return n;
  }

  synchronized int present(String ref) {
    return places.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(ref + "/"))
        .mapToInt(entry -> entry.getValue().size())
        .sum();
  }
}
