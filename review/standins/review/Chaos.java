package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;

public final class Chaos {
  static Deployment d;
  static Random rnd;
  static final Map<String, ObjectNode> jobs = new ConcurrentHashMap<>();
  static final Map<String, String> told = new ConcurrentHashMap<>();
  static final Map<String, Double> cancelledAt = new ConcurrentHashMap<>();
  static final Map<String, Double> cancelAsked = new ConcurrentHashMap<>();
  static final Map<String, Double> answeredAt = new ConcurrentHashMap<>();
  static final Set<String> broken = ConcurrentHashMap.newKeySet();
  static volatile boolean calm;

  static void broken(String what) {
    if (broken.add(what)) d.record("BROKEN " + what);
  }

  static void seen(String ref, double askedAt, Net.Answer a, String before) {
    if (a.status() == 404) { broken("forgotten 404 " + ref); return; }
    if (a.status() != 200) return;
    answeredAt.merge(ref, d.seconds(), Math::max);
    String st = a.text("status");
    if (before != null && !before.equals(st)) broken("went_back " + ref + " " + before + " -> " + st);
    if (st.equals("withdrawn")) {
      if (!cancelAsked.containsKey(ref)) broken("withdrawn without cancel " + ref);
      cancelledAt.putIfAbsent(ref, d.seconds());
      told.putIfAbsent(ref, st);
    }
    if (st.equals("done")) {
      int n = jobs.get(ref).path("pieces").asInt();
      for (int i = 0; i < n; i++) if (!d.finished.contains(ref + "/" + i)) broken("not_done " + ref);
      told.putIfAbsent(ref, st);
    }
  }

  static void user(int i) {
    Random r = new Random(i * 77L + 5);
    boolean service = r.nextInt(6) == 0;
    String ref = String.format("run-%06d", i);
    int n = service ? 1 + r.nextInt(3) : 1 + r.nextInt(r.nextInt(4) == 0 ? 60 : 8);
    ObjectNode job = Deployment.job(ref, service ? "order-capture" : "contract-notes",
        service ? "dealing-desk" : r.nextBoolean() ? "settlement-clerks" : "migration-squad", service, service ? "prod" : "normal", n,
        service ? 1 : 2, 2, 1 + r.nextInt(20));
    if (!service && r.nextInt(3) == 0) job.put("snapshotS", 4.0).put("flushS", 1.0).put("lendable", true);
    if (!service && r.nextInt(6) == 0) job.put("samePlace", true);
    if (!service && r.nextInt(6) == 0) job.put("spread", true);
    jobs.put(ref, job);
    if (!d.submit(job)) { jobs.remove(ref); return; }
    answeredAt.put(ref, d.seconds());
    double from = d.seconds();
    double cancelAfter = service ? 20 + r.nextInt(60) : r.nextInt(5) == 0 ? r.nextInt(20) : 1e9;
    while (d.seconds() < endAt) {
      String before = told.get(ref);
      double asked = d.seconds();
      if (!cancelledAt.containsKey(ref) && !"done".equals(before) && asked - from > cancelAfter) {
        cancelAsked.putIfAbsent(ref, asked);
        seen(ref, asked, d.user("POST", "/submissions/" + ref + "/cancel", null, 2000), before);
      } else {
        seen(ref, asked, d.user("GET", "/submissions/" + ref, null, 2000), before);
      }
      if (r.nextInt(30) == 0) {
        ObjectNode again = job.deepCopy(); again.remove("runS");
        Net.Answer a = d.user("POST", "/submissions", again, 5000);
        if (a.status() == 400 || a.status() == 422) broken("forgotten " + a.status() + " " + ref);
        seen(ref, asked, a, before);
      }
      Net.sleep(told.containsKey(ref) ? 6000 + r.nextInt(9000) : 1500 + r.nextInt(3000));
    }
  }

  static double endAt;

  static void check() {
    Map<String, Double> use = new HashMap<>();
    Map<String, Map<String, Integer>> zones = new HashMap<>();
    Map<String, String> places = d.placesNow();
    for (Map.Entry<String, String> e : places.entrySet()) {
      String ref = e.getKey().substring(0, e.getKey().lastIndexOf('/'));
      ObjectNode job = jobs.get(ref);
      if (job == null) continue;
      use.merge(job.path("owner").asText(), job.path("cpus").asDouble(), Double::sum);
      Double c = cancelledAt.get(ref);
      if (c != null && d.seconds() - c > d.plan.cancelS + 1) broken("ran_cancelled " + ref);
      WorkerHost w = d.workers.get(e.getValue().split(" ")[0]);
      if (w != null) zones.computeIfAbsent(ref, x -> new HashMap<>()).merge(w.zone(), 1, Integer::sum);
    }
    for (Deployment.Team t : d.plan.teams)
      if (use.getOrDefault(t.name(), 0.0) > t.cpusMax() + 1e-6) broken("quota " + t.name() + " " + use);
    zones.forEach((ref, z) -> {
      ObjectNode job = jobs.get(ref);
      int n = job.path("pieces").asInt();
      if (job.path("samePlace").asBoolean() && z.size() > 1) broken("wrong_place same " + ref + z);
      if (job.path("spread").asBoolean()) z.forEach((k, v) -> { if (v > (n + 1) / 2) broken("wrong_place spread " + ref + z); });
    });
    if (!d.ranTwice.isEmpty()) broken("ran_twice " + d.ranTwice);
  }

  public static void main(String[] args) throws Exception {
    long seed = Long.parseLong(args[0]);
    double minutes = Double.parseDouble(args[1]);
    rnd = new Random(seed);
    Deployment.Plan plan = new Deployment.Plan();
    plan.teams = List.of(new Deployment.Team("dealing-desk", 376, 1248), new Deployment.Team("settlement-clerks", 60, 100),
        new Deployment.Team("migration-squad", 60, 90));
    plan.mostPerZone = 6;
    d = new Deployment(plan, Path.of("/tmp/chaos-" + seed + ".txt"));
    endAt = minutes * 60;
    for (String z : d.zones) for (int i = 0; i < 3; i++) d.cloud.startMachine(z, i == 2);
    d.nodes.forEach(d::start);
    d.awaitReady(3, 60);
    Net.daemon(() -> { while (true) { try { check(); } catch (RuntimeException x) { x.printStackTrace(); } Net.sleep(100); } }, "check");
    Net.daemon(() -> { for (int i = (int) (seed % 1000) * 1000; d.seconds() < endAt - 130; i++) { int k = i; Net.daemon(() -> user(k), "user"); Net.sleep(400 + rnd.nextInt(1200)); } }, "users");
    Net.sleep(8000);
    while (d.seconds() < endAt - 120) {
      String n = d.nodes.get(rnd.nextInt(3));
      String owner = n;
      for (String k : d.state.keys("d/shards/")) { }
      switch (rnd.nextInt(9)) {
        case 0 -> { d.kill(n); Net.sleep(rnd.nextInt(3) == 0 ? 100 : 4000); d.start(n); }
        case 1 -> { d.signal(n, "STOP"); Net.sleep(500 + rnd.nextInt(rnd.nextBoolean() ? 4000 : 30000)); d.signal(n, "CONT"); }
        case 2 -> { d.record("refuse " + n); d.state.refused.add(n); Net.sleep(2000 + rnd.nextInt(35000)); d.state.refused.remove(n); d.record("refuse ends"); }
        case 3 -> { d.record("outage"); d.state.outage = true; Net.sleep(2000 + rnd.nextInt(23000)); if (rnd.nextBoolean()) { d.kill(n); d.start(n); } d.state.outage = false; d.record("outage ends"); }
        case 4 -> { d.record("lost"); d.state.lostAreLate = rnd.nextBoolean(); d.state.lostShare = 0.3; Net.sleep(8000); if (rnd.nextBoolean()) { d.kill(n); Net.sleep(1500); d.start(n);} Net.sleep(8000); d.state.lostShare = 0; d.record("lost ends"); }
        case 5 -> { d.record("deaf"); List<WorkerHost> ws = new ArrayList<>(d.workers.values()); Collections.shuffle(ws, rnd); long until = System.nanoTime() / 1_000_000 + 3000 + rnd.nextInt(40000); ws.subList(0, Math.min(2, ws.size())).forEach(w -> w.deafUntil = until); }
        case 6 -> { d.record("late commands"); d.lateCommandShare = 0.4; Net.sleep(10000); if (rnd.nextBoolean()) { d.kill(n); Net.sleep(1000); d.start(n);} Net.sleep(10000); d.lateCommandShare = 0; d.record("late commands end"); }
        case 7 -> { for (String x : d.nodes) d.kill(x); Net.sleep(rnd.nextBoolean() ? 4000 : rnd.nextInt(25000)); d.nodes.forEach(d::start); }
        default -> { List<WorkerHost> ws = new ArrayList<>(d.workers.values()); if (!ws.isEmpty()) d.cloud.take(ws.get(rnd.nextInt(ws.size())).host); }
      }
      Net.sleep(rnd.nextInt(3) == 0 ? rnd.nextInt(2000) : 2000 + rnd.nextInt(12000));
    }
    d.record("troubles over");
    double over = d.seconds();
    while (d.seconds() < endAt) Net.sleep(500);
    int open = 0;
    for (String ref : jobs.keySet()) {
      if (answeredAt.containsKey(ref) && answeredAt.get(ref) < over + 20) broken("forgotten unanswered " + ref + " since " + answeredAt.get(ref));
      if (!told.containsKey(ref) && answeredAt.containsKey(ref)) { open++; d.record("open " + ref + " " + jobs.get(ref).path("shape") + " " + d.user("GET", "/submissions/" + ref, null, 2000).body()); }
    }
    for (String n : d.nodes) d.record(n + " alive " + d.processes.get(n).isAlive() + " exceptions " + d.log(n, "xception").size() + " " + d.log(n, "xception").stream().limit(2).toList());
    d.record("END jobs " + jobs.size() + " open " + open + " broken " + broken);
    d.close();
    System.exit(0);
  }
}
