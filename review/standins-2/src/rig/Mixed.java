package rig;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Mixed troubles against real processes; no case, but what part one tried. Arguments: record, root
 * of the repository, seed, and the kinds of trouble (all if none are named). It takes four minutes.
 */
final class Mixed {
  private static final String ALL =
      "kill,kill2,all,freeze,refuse,outage,late,lost,hang,cut,die,sick,commands,wave,cloud";

  private final World world = new World();
  private final Random random;
  private final Set<String> toCancel = ConcurrentHashMap.newKeySet();
  private final boolean[] busy = new boolean[3];
  private volatile boolean over;
  private volatile boolean stop;

  private Mixed(long seed) {
    random = new Random(seed);
  }

  public static void main(String[] args) throws Exception {
    Record.open(Path.of(args[0]));
    Mixed mixed = new Mixed(Long.parseLong(args[2]));
    System.exit(mixed.run(Path.of(args[1]), (args.length > 3 ? args[3] : ALL).split(",")));
  }

  private int run(Path root, String[] kinds) throws Exception {
    world.teams.set(1, new World.Team("settlement-clerks", 20, 40));
    world.limitSeconds = 600;
    world.start(root);
    for (String zone : world.zones) {
      world.cloud.add(zone, false, 0);
      world.cloud.add(zone, false, 0);
      world.cloud.capacity(zone, false, 2);
      world.cloud.capacity(zone, true, 1);
    }
    if (!world.awaitReady(25)) {
      return 2;
    }
    Wire.THREADS.execute(this::submitAll);
    Wire.THREADS.execute(this::watchCancelled);
    Wire.pause(8000);
    double until = Record.now() + 90;
    List<Thread> troubles = new ArrayList<>();
    while (Record.now() < until) {
      String kind = kinds[random.nextInt(kinds.length)];
      Thread thread = new Thread(() -> trouble(kind));
      thread.start();
      troubles.add(thread);
      Wire.pause((long) (random.nextDouble() * 9000));
    }
    for (Thread thread : troubles) {
      thread.join();
    }
    over = true;
    Record.say("troubles over");
    watchWaiting(Record.now() + 130);
    stop = true;
    for (Controller controller : world.controllers) {
      if (!controller.isAlive()) {
        world.runs.broken("crash: " + controller.name);
      }
    }
    Record.say("%d jobs accepted, broken: %s", world.accepted.size(), world.runs.broken);
    return world.runs.broken.isEmpty() ? 0 : 1;
  }

  // ---- users ----

  private void submitAll() {
    for (int number = 1; !over; number++) {
      Job job = job(number);
      int node = random.nextInt(3);
      boolean cancels = random.nextInt(4) == 0;
      long cancelAfterMs = (long) (25_000 * random.nextDouble() * random.nextDouble());
      if (cancels) {
        toCancel.add(job.ref);
      }
      Wire.THREADS.execute(() -> use(job, node, cancels, cancelAfterMs));
      Wire.pause((long) (-900 * Math.log(1 - random.nextDouble())));
    }
  }

  private Job job(int number) {
    String ref = String.format("run-%06d", number);
    String team = world.teams.get(random.nextInt(4)).name();
    int kind = random.nextInt(10);
    String zone = world.zones.get(random.nextInt(3));
    if (kind == 0 && number > 12) {
      Job large = new Job(ref, team, false, 1, 8 + random.nextInt(22), 6, 6, image(4, 3), 0.5);
      return random.nextBoolean() ? large.hall(zone) : large;
    } else if (kind < 2) {
      return new Job(ref, team, true, 1 + random.nextInt(3), 1, 1.8, 0, image(0, 4), 0.6).spread();
    } else if (kind < 6) {
      double runS = 2 + 12 * random.nextDouble();
      int pieces = 1 + random.nextInt(10);
      return new Job(ref, team, false, pieces, 2, 2.8, runS, image(4, 2), 0.8).lendable();
    } else if (kind < 8) {
      double runS = 5 + 15 * random.nextDouble();
      Job job = new Job(ref, team, false, 1 + random.nextInt(4), 4, 5.9, runS, image(6, 4), 0.5);
      return job.saves(5, 1).rank("idle").lendable();
    }
    return new Job(ref, team, false, 1, 1, 1, 2, image(4, 2), 0.5).hall(zone);
  }

  private String image(int first, int count) {
    return "img-" + (first + random.nextInt(count));
  }

  private void use(Job job, int node, boolean cancels, long cancelAfterMs) {
    if (!world.submit(job, node)) {
      return;
    }
    if (cancels) {
      Wire.pause(cancelAfterMs);
      world.cancel(job.ref, node + 1);
    }
    int to = node;
    for (int round = 0; !stop && round < 200; round++) {
      for (int i = 0; i < 3; i++) {
        int at = to++;
        Wire.THREADS.execute(() -> world.poll(job.ref, at));
      }
      if (round % 20 == 19) {
        world.submit(job, to);
      }
      if (world.finals.containsKey(job.ref) && round > 3) {
        return;
      }
      Wire.pause(3000);
    }
  }

  // ---- checks beside those of Runs and World ----

  private void watchCancelled() {
    while (!stop) {
      Wire.pause(500);
      world.cancelled.forEach(
          (ref, at) -> {
            if (Record.now() - at > world.cancelS && world.runs.present(ref) > 0) {
              world.runs.broken("ran_cancelled: " + ref);
            }
          });
    }
  }

  /** Jobs that wait for 90 s beside room; what services reserve is not counted as room here. */
  private void watchWaiting(double until) {
    Map<String, Double> since = new HashMap<>();
    Set<String> told = new HashSet<>();
    while (Record.now() < until) {
      for (String ref : world.accepted) {
        Job job = world.jobs.get(ref);
        String beside = waits(job) ? room(job) : "";
        if (beside.isEmpty()) {
          since.remove(ref);
        } else if (Record.now() - since.computeIfAbsent(ref, r -> Record.now()) > 90
            && told.add(ref)) {
          world.runs.broken("left_waiting: " + ref + " beside" + beside);
        }
      }
      Wire.pause(1000);
    }
  }

  private boolean waits(Job job) {
    if (world.finals.containsKey(job.ref) || toCancel.contains(job.ref)) {
      return false;
    }
    int used = 0;
    for (int i = 0; i < job.pieces; i++) {
      used += world.done.contains(job.ref + "/" + i) ? 1 : 0;
    }
    return used + world.runs.present(job.ref) < job.pieces;
  }

  private String room(Job job) {
    double used = 0;
    for (Job other : world.jobs.values()) {
      used += other.team.equals(job.team) ? world.runs.present(other.ref) * other.cpus : 0;
    }
    String hosts = "";
    for (Cloud.Host host : world.cloud.present()) {
      Worker worker = host.worker;
      boolean fits =
          worker != null
              && used + job.cpus <= world.limitOf(job.team)
              && host.upAt < Record.now() - 10
              && worker.takenAt < 0
              && (job.hall == null || job.hall.equals(host.zone))
              && (!host.lendable || job.lendable)
              && worker.freeRam() >= job.ramGb
              && worker.freeCpus() - (job.service || !worker.hasService() ? 0 : 6.4) >= job.cpus;
      if (fits && job.spread) {
        fits = world.runs.inZone(job.ref, host.zone, world) < (job.pieces + 1) / 2;
      }
      hosts += fits ? " " + host.ref : "";
    }
    return hosts;
  }

  // ---- troubles ----

  private int holder() {
    return Math.max(0, world.indexOf(world.state.holder("d/leader/")));
  }

  private synchronized boolean take(int node) {
    boolean free = !busy[node];
    busy[node] = true;
    return free;
  }

  private void trouble(String kind) {
    Record.say("trouble: %s", kind);
    try {
      if (kind.equals("all")) {
        boolean free = true;
        for (int node = 0; node < 3; node++) {
          free &= take(node);
        }
        if (free) {
          world.controllers.forEach(Controller::kill);
          Wire.pause(random.nextInt(3) == 0 ? 25_000 : 4000);
          for (Controller controller : world.controllers) {
            controller.start();
          }
        }
        java.util.Arrays.fill(busy, false);
      } else if (kind.startsWith("kill") || kind.equals("freeze")) {
        int node = kind.equals("kill2") ? random.nextInt(3) : holder();
        if (take(node)) {
          disturb(world.controllers.get(node), kind);
          busy[node] = false;
        }
      } else if (kind.equals("refuse")) {
        int node = holder();
        world.state.refuse(node, true);
        Wire.pause(random.nextInt(30_000));
        world.state.refuse(node, false);
      } else if (kind.equals("outage")) {
        world.state.outage(true);
        Wire.pause(random.nextInt(20_000));
        world.state.outage(false);
      } else if (kind.equals("late") || kind.equals("lost")) {
        world.state.lateAtOnce = kind.equals("lost");
        world.state.lateShare = 0.3;
        Wire.pause(8000);
        world.state.lateShare = 0;
      } else if (kind.equals("commands")) {
        world.lateCommands = 0.4;
        Wire.pause(10_000);
        world.lateCommands = 0;
      } else if (kind.equals("cloud")) {
        world.cloud.out = true;
        Wire.pause(random.nextInt(30_000));
        world.cloud.out = false;
      } else if (kind.equals("wave")) {
        wave();
      } else {
        machine(kind);
      }
    } catch (Exception e) {
      Record.say("trouble %s failed: %s", kind, e);
    }
  }

  private void disturb(Controller controller, String kind) throws Exception {
    if (kind.equals("freeze")) {
      controller.signal("STOP");
      Wire.pause(random.nextInt(random.nextBoolean() ? 5000 : 30_000));
      controller.signal("CONT");
    } else {
      controller.kill();
      Wire.pause(random.nextInt(3) == 0 ? 300 : 4000);
      controller.start();
    }
  }

  private void wave() {
    for (Cloud.Host host : world.cloud.present()) {
      if (host.lendable && host.worker != null && random.nextInt(3) > 0) {
        boolean silent = random.nextInt(3) == 0;
        if (!silent) {
          host.worker.warn(10);
        }
        Wire.pause(silent ? 0 : 5000 + random.nextInt(5000));
        if (host.goneAt == Double.MAX_VALUE) {
          world.cloud.end(host, "taken");
        }
      }
    }
  }

  private void machine(String kind) {
    List<Cloud.Host> hosts =
        world.cloud.present().stream().filter(host -> host.worker != null).toList();
    if (hosts.isEmpty()) {
      return;
    }
    Cloud.Host host = hosts.get(random.nextInt(hosts.size()));
    Record.say("machine %s: %s", host.ref, kind);
    if (kind.equals("die")) {
      world.cloud.end(host, "dies");
      return;
    }
    set(host.worker, kind, true);
    Wire.pause(random.nextInt(25_000));
    set(host.worker, kind, false);
  }

  private static void set(Worker worker, String kind, boolean on) {
    switch (kind) {
      case "hang" -> worker.hung = on;
      case "cut" -> worker.cut = on;
      default -> worker.sick = on;
    }
  }
}
