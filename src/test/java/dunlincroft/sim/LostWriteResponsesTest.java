package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.operators.Policy;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.LostAnswers.Kind;
import dunlincroft.sim.SimCluster.Size;
import dunlincroft.transport.Env;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against writes that are applied but whose response is lost. Responses to one kind of write
 * are lost repeatedly while users query all nodes, controllers crash and machines hang. The sender
 * must recognize the applied write as its own.
 */
class LostWriteResponsesTest extends OverlappingFaultsScenario {
  private static final long FAULT_FROM_MS = 4000;
  private static final long FAULT_DURATION_MS = 80_000;

  /** Jobs about which all nodes were queried at once and some answered. */
  private final Set<String> queriedJobs = new HashSet<>();

  /** Users query all nodes about some jobs at once, and resubmit some of them. */
  private void queryAllNodes(SimCluster cluster, Random random) {
    for (int i = 0; i < 3; i++) {
      JobSpec spec = jobs.get(random.nextInt(jobs.size()));
      boolean resubmit = random.nextInt(3) == 0;
      for (int node = 0; node < cluster.nodeCount(); node++) {
        if (cluster.checks.accepted.contains(spec.ref())) {
          ask(cluster, spec, node, resubmit);
        }
      }
    }
    cluster.clock.after(500, () -> queryAllNodes(cluster, random));
  }

  /** Each job is submitted to all nodes within milliseconds; exactly one accepts it. */
  private void submitToAllNodes(SimCluster cluster) {
    for (JobSpec spec : jobs) {
      if (cluster.specOf(spec.ref()) != null && !cluster.checks.accepted.contains(spec.ref())) {
        for (int node = 0; node < cluster.nodeCount(); node++) {
          ask(cluster, spec, node, true);
        }
      }
    }
    cluster.clock.after(500, () -> submitToAllNodes(cluster));
  }

  private void ask(SimCluster cluster, JobSpec spec, int node, boolean resubmit) {
    long sentAt = cluster.clock.now();
    String path = "/submissions" + (resubmit ? "" : "/" + spec.ref());
    byte[] body = resubmit ? Cbor.bytes(spec.toNode()) : null;
    cluster.net.call(
        "user",
        new Env.Call(cluster.nodeAddress(node), resubmit ? "POST" : "GET", path, body, 2000),
        reply -> {
          if (reply.body().length > 0) {
            try {
              ObjectNode map = Cbor.parse(reply.body());
              cluster.checks.onAnswer(spec, reply.status(), map.path("status").asText(), sentAt);
              queriedJobs.add(spec.ref());
            } catch (MalformedException e) {
              throw new IllegalStateException(e);
            }
          }
        });
  }

  private SimCluster cluster(long seed, Kind kind) throws MalformedException {
    boolean withPages = kind == Kind.PAGE || kind == Kind.PAGE_REMOVAL;
    SimCluster cluster =
        withPages
            ? new SimCluster(seed, Policy.DEFAULT, Size.TIGHT)
            : busyCluster(seed, Policy.parse("holder_machines = 12;"));
    if (withPages) {
      cluster.checks.setFaultsEnd(FAULTS_AT_MS + 90_000);
      for (int i = 0; i < 40; i++) {
        JobSpec spec = InvariantsTest.batchJob("run-" + i, "blue", 250, 0.5);
        jobs.add(spec);
        cluster.clock.after(4000 + 1000L * i, () -> cluster.submitAndFollow(spec, 0));
      }
    }
    return cluster;
  }

  @ParameterizedTest
  @CsvSource({
    "ACCEPTANCE,1,30",
    "CANCEL,3,6",
    "END,5,20",
    "LOG,7,30",
    "LOG,8,30",
    "PAGE,9,8",
    "PAGE_REMOVAL,11,3",
    "FENCE,13,2"
  })
  void senderRecognizesItsOwnWrite(Kind kind, long seed, int least) throws MalformedException {
    SimCluster cluster = cluster(seed, kind);
    cluster.clock.runUntil(FAULT_FROM_MS);
    cluster.loseAnswers(EnumSet.of(kind), 0.6, FAULT_DURATION_MS);
    queryAllNodes(cluster, new Random(seed));
    if (kind == Kind.ACCEPTANCE) {
      cluster.clock.after(3, () -> submitToAllNodes(cluster));
    }
    for (int i = 0; i < 3; i++) {
      long awayMs = i == 1 ? 15_000 : 200;
      cluster.clock.after(14_000 + 20_000L * i, () -> cluster.crashOwner(awayMs));
      if (kind == Kind.FENCE) {
        for (int j = 0; j < 4; j++) {
          cluster.clock.after(
              16_000 + 20_000L * i + 5000L * j,
              () -> InjectedFault.busiestMachines(cluster).forEach(worker -> worker.hang(4000)));
          // A restarted worker always gets a higher fence token. With hanging machines alone the
          // number of raised fence tokens depended on the seed.
          cluster.clock.after(
              18_000 + 20_000L * i + 5000L * j,
              () -> InjectedFault.busiestMachines(cluster).forEach(worker -> worker.restart(200)));
        }
      }
    }
    cluster.clock.runUntil(20_000);
    cancelEveryNth(cluster, kind == Kind.CANCEL ? 2 : 4, 1000);
    cluster.clock.runUntil(FAULT_FROM_MS + FAULT_DURATION_MS + 1);
    runUntilDoneAndVerify(cluster);
    assertThat(cluster.lostAnswers.lost(kind)).as("responses lost").isGreaterThanOrEqualTo(least);
    assertThat(queriedJobs).as("jobs queried at all nodes").hasSizeGreaterThan(30);
    assertThat(cluster.checks.accepted).as("accepted").hasSize(cluster.submittedJobs());
  }
}
