package rig;

import java.nio.file.Path;

/**
 * A machine fails what it starts for some seconds and is well again. A job that failed there once,
 * and that may run in no other zone, has to run there afterwards.
 */
final class CaseSick {
  private static final double SICK_S = 6;
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
    Job before = new Job("run-000001", "settlement-clerks", false, 1, 2, 4, 1, "img-1", 0.5);
    Job service = new Job("run-000003", "migration-squad", true, 1, 1, 1.8, 0, "img-3", 0.5);
    if (!world.submit(before.hall("leith"), 0)
        || !world.submit(service.hall("leith"), 2)
        || !world.awaitDone(before.ref, 10)) {
      Record.say("no case: no job runs in leith");
      return 2;
    }
    while (world.runs.present(service.ref) == 0 && Record.now() < 20) {
      Wire.pause(100);
    }
    if (trouble) {
      only.worker.sick = true;
      Record.say("trouble begins: %s fails every task that it starts", only.ref);
    }
    double troubleUntil = Record.now() + SICK_S;
    Job job = new Job("run-000002", "settlement-clerks", false, 1, 4, 6, 5, "img-2", 0.5);
    if (!world.submit(job.hall("leith"), 1)) {
      Record.say("no case: the job was not accepted");
      return 2;
    }
    Wire.pause((long) ((troubleUntil - Record.now()) * 1000));
    only.worker.sick = false;
    Record.say("trouble is over: %s is well", only.ref);
    if (trouble && world.runs.starts("run-000002/0") == 0) {
      Record.say("no case: the task did not start on the sick machine");
      return 2;
    }
    double waitsSince = Record.now();
    for (int node = 0; Record.now() < 115; node++) {
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
        Record.say("rule broken: %s waits for %.0f s while %s has %.0f CPUs free and its team uses"
            + " none of its %.0f", job.ref, Record.now() - waitsSince, only.ref,
            only.worker.freeCpus(), world.limitOf(job.team));
        return 1;
      }
      Wire.pause(2000);
    }
    Record.say("no case: neither done nor left waiting for 90 s");
    return 2;
  }
}
