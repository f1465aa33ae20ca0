package rig;

import java.nio.file.Path;

/**
 * A machine loses the network for some seconds while the cloud's interface is down. Both come back,
 * the machine within its lease. A job that may run in no other zone has to run there afterwards.
 */
final class CaseRelease {
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
    // A quiet deployment: one machine in each zone. Leith has no more to give.
    Cloud.Host only = world.cloud.add("leith", false, 0);
    world.cloud.add("gyle", false, 0);
    world.cloud.add("dundee", false, 0);
    world.cloud.capacity("leith", false, 1);
    world.cloud.capacity("gyle", false, 13);
    world.cloud.capacity("dundee", false, 9);
    if (!world.awaitReady(20)) {
      Record.say("no case: the controllers are not ready");
      return 2;
    }
    Job service = new Job("run-000001", "migration-squad", true, 1, 1, 1.8, 0, "img-3", 0.5);
    if (!world.submit(service.hall("leith"), 2)) {
      return 2;
    }
    while (world.runs.present(service.ref) == 0 && Record.now() < 20) {
      Wire.pause(100);
    }
    Wire.pause(1000);
    if (trouble) {
      world.cloud.out = true;
      Record.say("trouble begins: the cloud's interface is down");
      only.worker.cut = true;
      double cutAt = Record.now();
      Record.say("trouble begins: %s loses the network", only.ref);
      while (world.cloud.refusedReleases == 0 && Record.now() - cutAt < 12) {
        Wire.pause(50);
      }
      if (world.cloud.refusedReleases == 0) {
        Record.say("no case: the machine's release was not asked for");
        return 2;
      }
      Wire.pause(500);
      only.worker.cut = false;
      Record.say("trouble is over: %s has the network again, after %.1f s", only.ref,
          Record.now() - cutAt);
      double back = Record.now();
      while (only.worker.answeredAt < back && Record.now() < back + 8) {
        Wire.pause(50);
      }
      // No release that was asked for before the machine was heard is still on its way.
      Wire.pause(1500);
      world.cloud.out = false;
      Record.say("trouble is over: the cloud's interface is back, after %.1f s",
          Record.now() - cutAt);
    }
    Job job = new Job("run-000002", "settlement-clerks", false, 1, 4, 6, 5, "img-2", 0.5);
    if (!world.submit(job.hall("leith"), 1)) {
      Record.say("no case: the job was not accepted");
      return 2;
    }
    double waitsSince = Record.now();
    for (int node = 0; Record.now() < 116; node++) {
      if (world.poll(job.ref, node).equals("done")) {
        Record.say("rule held: the job is done");
        return world.runs.broken.isEmpty() ? 0 : 1;
      }
      if (only.worker.isGone()) {
        Record.say("no case: the machine is gone");
        return 2;
      }
      boolean room = only.worker.freeCpus() >= job.cpus && only.worker.freeRam() >= job.ramGb;
      if (!room || world.runs.present(job.ref) > 0) {
        waitsSince = Record.now();
      }
      if (Record.now() - waitsSince > WAIT_S) {
        Record.say("rule broken: %s waits for %.0f s while %s has %.0f CPUs free, its service %s",
            job.ref, Record.now() - waitsSince, only.ref, only.worker.freeCpus(),
            world.runs.present(service.ref) > 0 ? "runs there" : "does not run");
        return 1;
      }
      Wire.pause(2000);
    }
    Record.say("no case: neither done nor left waiting for 90 s");
    return 2;
  }
}
