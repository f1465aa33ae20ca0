package dunlincroft.coordination;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends status queries to workers and derives from the outcome whether they can be reached. */
final class MachineProbe {
  private static final Logger LOG = LoggerFactory.getLogger(MachineProbe.class);

  private final ClusterState cluster;
  private final AnswerHandler answers;
  private Consumer<Machine> answerListener = machine -> {};

  MachineProbe(ClusterState cluster, AnswerHandler answers) {
    this.cluster = cluster;
    this.answers = answers;
  }

  /** Sets the listener that gets the machines whose workers have answered. */
  void setAnswerListener(Consumer<Machine> listener) {
    answerListener = listener;
  }

  /**
   * Handles a first sign that a worker does not receive our answers: nothing is started there until
   * it has answered a query.
   */
  void suspectMissedAnswer(Machine machine) {
    machine.session.onMissedAnswer();
    probe(machine);
  }

  private void onUnanswered(Machine machine) {
    if (machine.session.onNoAnswer(cluster.now())) {
      LOG.info("host {} is deaf: its reports come, and our answers do not arrive", machine.host);
      cluster.metrics.count(Metrics.Event.DEAF);
    }
  }

  /**
   * Queries a worker directly: after its shard has changed its owner, and when the worker has
   * become silent.
   */
  void probe(Machine machine) {
    if (machine.session.isProbeInFlight() || machine.endpoint == null) {
      return;
    }
    machine.session.setProbeInFlight(true);
    AnswerHandler.LastReport lastReport = AnswerHandler.LastReport.of(machine);
    StatusQuery.query(
        cluster.env,
        machine.host,
        machine.endpoint,
        answer -> {
          machine.session.setProbeInFlight(false);
          if (cluster.machines.get(machine.host) != machine) {
            return;
          }
          if (!answer.hasArrived()) {
            onUnanswered(machine);
          } else if (answers.process(machine, lastReport, answer.reply())) {
            answerListener.accept(machine);
          }
        });
  }
}
