package rig;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Order-capture services come four times as often for some seconds, and the cloud has no more
 * machines. An array job comes afterwards. Machines that fit have room for its tasks.
 */
final class CaseReserve {
  private static final int AT_THE_START = 22;
  private static final int IN_THE_BURST = 4;

  /** Four times the 0.11888 a second of the site file. */
  private static final double BURST_PER_S = 4 * 0.11888;

  private static final double WAIT_S = 90;

  public static void main(String[] args) {
    int code = 2;
    try {
      Record.open(Path.of(args[0]));
      code = run(Path.of(args[1]), !"0".equals(System.getenv("TROUBLE")));
    } catch (Throwable e) {
      Record.say("no case: %s", e);
    }
    System.exit(code);
  }

  private static int run(Path root, boolean trouble) throws Exception {
    World world = new World();
    world.start(root);
    List<Cloud.Host> hosts = new ArrayList<>();
    for (String zone : world.zones) {
      hosts.add(world.cloud.add(zone, false, 0));
      world.cloud.capacity(zone, false, 1);
    }
    if (!world.awaitReady(20)) {
      Record.say("no case: the controllers are not ready");
      return 2;
    }
    // Every machine runs something first and has the image of the services.
    for (int i = 0; i < 3; i++) {
      Job first = new Job("run-00000" + i, "dealing-desk", false, 1, 1, 1, 0.5, "img-1", 0.5);
      if (!world.submit(first.hall(world.zones.get(i)), i)) {
        return 2;
      }
    }
    for (int i = 0; i < 3; i++) {
      if (!world.awaitDone("run-00000" + i, 12)) {
        Record.say("no case: no job runs in " + world.zones.get(i));
        return 2;
      }
    }
    int number = 0;
    while (number < AT_THE_START) {
      if (!capture(world, number++)) {
        return 2;
      }
    }
    if (!awaitServices(world, number, 12)) {
      Record.say("no case: the services do not run");
      return 2;
    }
    if (trouble) {
      Record.say("trouble begins: order-capture services come four times as often");
      for (int i = 0; i < IN_THE_BURST; i++) {
        double next = Record.now() + 1 / BURST_PER_S;
        if (!capture(world, number++)) {
          return 2;
        }
        Wire.pause((long) ((next - Record.now()) * 1000));
      }
      Record.say("trouble is over");
    }
    Job job = new Job("run-000900", "dealing-desk", false, 1, 2, 2.8, 5, "img-9", 0.5);
    if (!world.submit(job, 1)) {
      Record.say("no case: the job was not accepted");
      return 2;
    }
    double waitsSince = Record.now();
    for (int node = 0; Record.now() < 116; node++) {
      if (world.poll(job.ref, node).equals("done")) {
        Record.say("rule held: the job is done");
        return world.runs.broken.isEmpty() ? 0 : 1;
      }
      String fitting = "";
      for (Cloud.Host host : hosts) {
        if (!host.worker.isGone()
            && host.worker.freeCpus() >= job.cpus
            && host.worker.freeRam() >= job.ramGb) {
          fitting += String.format(" %s %.0f CPUs %.1f GB", host.ref, host.worker.freeCpus(),
              host.worker.freeRam());
        }
      }
      Record.say("room:%s", fitting);
      if (fitting.isEmpty() || world.runs.present(job.ref) > 0) {
        waitsSince = Record.now();
      }
      if (Record.now() - waitsSince > WAIT_S) {
        Record.say("rule broken: %s waits for %.0f s beside room on%s", job.ref,
            Record.now() - waitsSince, fitting);
        return 1;
      }
      Wire.pause(2000);
    }
    Record.say("no case: neither done nor left waiting for 90 s");
    return 2;
  }

  private static boolean capture(World world, int number) {
    String team = number % 2 == 0 ? "migration-squad" : "compliance";
    String ref = String.format("run-%06d", 100 + number);
    return world.submit(new Job(ref, team, true, 3, 1, 1.8, 0, "img-1", 0.5).spread(), number);
  }

  private static boolean awaitServices(World world, int number, double seconds) {
    double until = Record.now() + seconds;
    while (Record.now() < until) {
      int running = 0;
      for (int i = 0; i < number; i++) {
        running += world.runs.present(String.format("run-%06d", 100 + i));
      }
      if (running == 3 * number) {
        return true;
      }
      Wire.pause(200);
    }
    return false;
  }
}
