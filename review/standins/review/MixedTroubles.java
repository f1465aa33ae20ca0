package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Not a case: plays a deployment under troubles drawn at random and checks the rules meanwhile. Its
 * arguments are a seed, a number of minutes and a file for the record. With "limits" as the fourth,
 * the limits of the state service fall and rise again each minute.
 */
public final class MixedTroubles {
  private static final double CALM_S = 120;

  private final Deployment d;
  private final Random random;
  private final double endS;
  private final Map<String, ObjectNode> jobs = new ConcurrentHashMap<>();
  private final Map<String, String> told = new ConcurrentHashMap<>();
  private final Map<String, Double> cancelledAt = new ConcurrentHashMap<>();
  private final Set<String> cancelAsked = ConcurrentHashMap.newKeySet();
  private final Map<String, Double> answeredAt = new ConcurrentHashMap<>();
  private final Set<String> broken = ConcurrentHashMap.newKeySet();

  private MixedTroubles(Deployment d, long seed, double minutes) {
    this.d = d;
    this.random = new Random(seed);
    this.endS = minutes * 60;
  }

  public static void main(String[] args) throws Exception {
    Deployment.Plan plan = new Deployment.Plan();
    plan.teams =
        List.of(
            new Deployment.Team("dealing-desk", 376, 1248),
            new Deployment.Team("settlement-clerks", 60, 100),
            new Deployment.Team("migration-squad", 60, 90));
    plan.mostPerZone = 6;
    long seed = Long.parseLong(args[0]);
    try (Deployment d = new Deployment(plan, Path.of(args[2]))) {
      if (args.length > 3 && args[3].equals("limits")) {
        Net.daemon(() -> changeLimits(d), "limits");
      }
      new MixedTroubles(d, seed, Double.parseDouble(args[1])).run((int) (seed % 1000) * 1000);
    }
    System.exit(0);
  }

  private static void changeLimits(Deployment d) {
    while (true) {
      Net.sleep(60_000);
      d.state.limit(2, 5, 24);
      d.record("limits fall");
      Net.sleep(60_000);
      d.state.limit(16, 16, 35);
      d.record("limits rise");
    }
  }

  private void run(int firstJob) {
    for (String zone : d.zones) {
      for (int i = 0; i < 3; i++) {
        d.cloud.startMachine(zone, i == 2);
      }
    }
    d.nodes.forEach(d::start);
    d.awaitReady(3, 60);
    Net.daemon(this::checkAlways, "check");
    Net.daemon(() -> submitAlways(firstJob), "users");
    Net.sleep(8000);
    while (d.seconds() < endS - CALM_S) {
      trouble();
      Net.sleep(random.nextInt(3) == 0 ? random.nextInt(2000) : 2000 + random.nextInt(12_000));
    }
    double over = d.seconds();
    d.record("troubles over");
    Net.sleep((long) (1000 * (endS - over)));
    int open = 0;
    for (String ref : jobs.keySet()) {
      if (answeredAt.containsKey(ref) && answeredAt.get(ref) < over + 20) {
        broken("forgotten: " + ref + " is not answered for since " + answeredAt.get(ref));
      }
      open += answeredAt.containsKey(ref) && !told.containsKey(ref) ? 1 : 0;
    }
    d.record("jobs " + jobs.size() + ", open " + open + ", rules broken " + broken);
  }

  private void broken(String what) {
    if (broken.add(what)) {
      d.record("BROKEN " + what);
    }
  }

  // ---- troubles ----

  private String leader() {
    StateService.Item item = d.state.item("d/leader/one");
    return item == null ? d.nodes.get(random.nextInt(3)) : item.data().path("name").asText();
  }

  private void restart(String node, long awayMs) {
    d.kill(node);
    Net.sleep(awayMs);
    d.start(node);
  }

  private void trouble() {
    String node = random.nextBoolean() ? leader() : d.nodes.get(random.nextInt(3));
    boolean restarts = random.nextBoolean();
    switch (random.nextInt(15)) {
      case 0 -> restart(node, random.nextInt(3) == 0 ? 100 : 4000);
      case 1 -> {
        d.signal(node, "STOP");
        Net.sleep(500 + random.nextInt(restarts ? 4000 : 30_000));
        d.signal(node, "CONT");
      }
      case 2 -> {
        d.record("the state service refuses " + node);
        d.state.refused.add(node);
        Net.sleep(2000 + random.nextInt(35_000));
        d.state.outage = random.nextInt(3) == 0;
        Net.sleep(d.state.outage ? random.nextInt(25_000) : 0);
        d.state.outage = false;
        d.state.refused.remove(node);
      }
      case 3 -> {
        d.record("the state service is down");
        d.state.outage = true;
        Net.sleep(2000 + random.nextInt(23_000));
        if (restarts) {
          restart(node, 0);
        }
        d.state.outage = false;
      }
      case 4 -> {
        d.record("transactions get no answer");
        d.state.lostAreLate = random.nextBoolean();
        d.state.lostShare = 0.3;
        Net.sleep(8000);
        if (restarts) {
          restart(node, 1500);
        }
        Net.sleep(8000);
        d.state.lostShare = 0;
      }
      case 5 -> machines().forEach(worker -> worker.deafUntil = soon(40_000));
      case 6 -> {
        d.record("direct commands are late");
        d.lateCommandShare = 0.4;
        Net.sleep(10_000);
        if (restarts) {
          restart(node, 1000);
        }
        Net.sleep(10_000);
        d.lateCommandShare = 0;
      }
      case 7 -> {
        d.nodes.forEach(d::kill);
        Net.sleep(restarts ? 4000 : random.nextInt(25_000));
        d.nodes.forEach(d::start);
      }
      case 8 -> machines().stream().limit(1).forEach(worker -> d.cloud.take(worker.host));
      case 9 -> {
        d.record("machines hang");
        machines().forEach(worker -> worker.hangUntil = soon(36_000));
        if (restarts) {
          restart(node, random.nextInt(5000));
        }
      }
      case 11, 12 -> cutNode(node, 2000 + random.nextInt(50_000), restarts);
      case 13 -> {
        d.record("connections between controllers are refused at " + node);
        setLinks(node, Link.Mode.REFUSED);
        Net.sleep(2000 + random.nextInt(30_000));
        setLinks(node, Link.Mode.OPEN);
      }
      case 14 -> cutZone(random.nextInt(3), 2000 + random.nextInt(50_000));
      default -> {
        d.record("copies of reports, late rentals and releases");
        d.lateReportShare = 0.3;
        d.cloud.lateShare = 0.5;
        Net.sleep(20_000);
        if (restarts) {
          restart(node, random.nextInt(5000));
        }
        d.lateReportShare = 0;
        d.cloud.lateShare = 0;
      }
    }
  }

  private void setLinks(String node, Link.Mode mode) {
    d.links.forEach(
        (pair, link) -> {
          if (pair.startsWith(node + " ") || pair.endsWith(" " + node)) {
            link.set(mode);
          }
        });
  }

  /** Cuts a controller from some of its partners; what is sent is held back. */
  private void cutNode(String node, long forMs, boolean fromAll) {
    boolean state = fromAll || random.nextBoolean();
    boolean peers = fromAll || random.nextBoolean();
    boolean workers = fromAll || random.nextInt(3) == 0;
    d.record(node + " is cut: state " + state + " peers " + peers + " workers " + workers);
    if (state) {
      d.state.held.add(node);
    }
    if (peers) {
      setLinks(node, Link.Mode.HELD);
    }
    if (workers) {
      d.cuts.add(node + " *");
      d.cuts.add(node + " users");
    }
    Net.sleep(forMs);
    d.state.held.remove(node);
    setLinks(node, Link.Mode.OPEN);
    d.cuts.clear();
    d.record("cut ends");
  }

  /** Cuts a zone with its controller from everything. */
  private void cutZone(int index, long forMs) {
    String inside = d.nodes.get(index);
    d.record("zone " + d.zones.get(index) + " is cut off");
    for (int i = 0; i < 3; i++) {
      for (int zone = 0; zone < 3; zone++) {
        if ((i == index) != (zone == index)) {
          d.cuts.add(d.nodes.get(i) + " zone " + d.zones.get(zone));
        }
      }
    }
    d.cuts.add(inside + " users");
    d.state.held.add(inside);
    setLinks(inside, Link.Mode.HELD);
    Net.sleep(forMs);
    d.state.held.remove(inside);
    setLinks(inside, Link.Mode.OPEN);
    d.cuts.clear();
    d.record("cut ends");
  }

  private long soon(int mostMs) {
    return System.nanoTime() / 1_000_000 + 2000 + random.nextInt(mostMs);
  }

  private List<WorkerHost> machines() {
    List<WorkerHost> workers = new ArrayList<>(d.workers.values());
    Collections.shuffle(workers, random);
    return workers.subList(0, Math.min(1 + random.nextInt(3), workers.size()));
  }

  // ---- users ----

  private void submitAlways(int firstJob) {
    for (int i = firstJob; d.seconds() < endS - CALM_S - 10; i++) {
      int number = i;
      Net.daemon(() -> user(number), "user");
      Net.sleep(400 + random.nextInt(1200));
    }
  }

  private void user(int number) {
    Random own = new Random(number * 77L + 5);
    boolean service = own.nextInt(6) == 0;
    String ref = String.format("run-%06d", number);
    int pieces = service ? 1 + own.nextInt(3) : 1 + own.nextInt(own.nextInt(4) == 0 ? 60 : 8);
    ObjectNode job =
        service
            ? Deployment.job(
                ref, "order-capture", "dealing-desk", true, "prod", pieces, 1, 2, 0)
            : Deployment.job(
                ref,
                "contract-notes",
                own.nextBoolean() ? "settlement-clerks" : "migration-squad",
                false,
                "normal",
                pieces,
                2,
                2,
                1 + own.nextInt(20));
    if (!service && own.nextInt(3) == 0) {
      job.put("snapshotS", 4.0).put("flushS", 1.0).put("lendable", true);
    }
    job.put("samePlace", !service && own.nextInt(6) == 0);
    job.put("spread", service || (!job.path("samePlace").asBoolean() && own.nextInt(6) == 0));
    jobs.put(ref, job);
    if (!d.submit(job)) {
      jobs.remove(ref);
      return;
    }
    answeredAt.put(ref, d.seconds());
    look(ref, null);
    double from = d.seconds();
    double cancelAfterS =
        service ? 20 + own.nextInt(60) : own.nextInt(5) == 0 ? own.nextInt(20) : endS;
    while (d.seconds() < endS) {
      String before = told.get(ref);
      if (before == null && d.seconds() - from > cancelAfterS) {
        cancelAsked.add(ref);
        seen(ref, d.user("POST", "/submissions/" + ref + "/cancel", null, 2000), before);
      } else {
        seen(ref, d.user("GET", "/submissions/" + ref, null, 2000), before);
      }
      if (own.nextInt(30) == 0) {
        ObjectNode again = job.deepCopy();
        again.remove("runS");
        Net.Answer answer = d.user("POST", "/submissions", again, 5000);
        if (answer.status() == 400 || answer.status() == 422) {
          broken("forgotten: " + ref + " submitted again is answered " + answer.status());
        }
        seen(ref, answer, before);
      }
      Net.sleep(told.containsKey(ref) ? 6000 + own.nextInt(9000) : 1500 + own.nextInt(3000));
    }
  }

  /** Asks at all controllers at once. */
  private void look(String ref, String finalStatus) {
    for (String node : d.nodes) {
      Net.daemon(
          () -> {
            Net.Answer answer =
                Net.call(d.listen.get(node), "GET", "/submissions/" + ref, null, 2000);
            if (answer.status() == 404) {
              broken("forgotten: " + ref + " is answered 404 at " + node);
            } else if (answer.status() == 200
                && finalStatus != null
                && !finalStatus.equals(answer.text("status"))) {
              broken("went_back: " + ref + " " + finalStatus + ", then " + answer.text("status"));
            }
          },
          "look");
    }
  }

  private void seen(String ref, Net.Answer answer, String before) {
    if (answer.status() == 404) {
      broken("forgotten: " + ref + " is answered 404");
    }
    if (answer.status() != 200) {
      return;
    }
    answeredAt.merge(ref, d.seconds(), Math::max);
    String status = answer.text("status");
    if (before != null && !before.equals(status)) {
      broken("went_back: " + ref + " " + before + ", then " + status);
    }
    if (status.equals("withdrawn") && !cancelAsked.contains(ref)) {
      broken("went_back: " + ref + " is withdrawn without its user");
    }
    if (status.equals("withdrawn")) {
      cancelledAt.putIfAbsent(ref, d.seconds());
    }
    if (status.equals("done")) {
      for (int i = 0; i < jobs.get(ref).path("pieces").asInt(); i++) {
        if (!d.finished.contains(ref + "/" + i)) {
          broken("not_done: " + ref);
        }
      }
    }
    if ((status.equals("done") || status.equals("withdrawn"))
        && told.putIfAbsent(ref, status) == null) {
      look(ref, status);
    }
  }

  // ---- rules ----

  private void checkAlways() {
    while (true) {
      Map<String, Double> used = new HashMap<>();
      Map<String, Map<String, Integer>> zones = new HashMap<>();
      d.placesNow()
          .forEach(
              (task, place) -> {
                String ref = task.substring(0, task.lastIndexOf('/'));
                ObjectNode job = jobs.get(ref);
                WorkerHost worker = d.workers.get(place.split(" ")[0]);
                if (job == null || worker == null) {
                  return;
                }
                used.merge(job.path("owner").asText(), job.path("cpus").asDouble(), Double::sum);
                zones.computeIfAbsent(ref, r -> new HashMap<>()).merge(worker.zone(), 1, Integer::sum);
                Double cancelled = cancelledAt.get(ref);
                if (cancelled != null && d.seconds() - cancelled > d.plan.cancelS + 1) {
                  broken("ran_cancelled: " + ref);
                }
              });
      for (Deployment.Team team : d.plan.teams) {
        if (used.getOrDefault(team.name(), 0.0) > team.cpusMax() + 1e-6) {
          broken("quota: " + team.name());
        }
      }
      zones.forEach(
          (ref, counts) -> {
            ObjectNode job = jobs.get(ref);
            int most = (job.path("pieces").asInt() + 1) / 2;
            boolean tooMany =
                job.path("spread").asBoolean() && counts.values().stream().anyMatch(n -> n > most);
            if (tooMany || (job.path("samePlace").asBoolean() && counts.size() > 1)) {
              broken("wrong_place: " + ref + " " + counts);
            }
          });
      if (!d.ranTwice.isEmpty()) {
        broken("ran_twice: " + d.ranTwice);
      }
      Net.sleep(100);
    }
  }
}
