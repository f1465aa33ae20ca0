package dunlincroft.coordination;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Asks machines directly how they are, and judges by that whether they hear us. */
final class MachineProbe {
  private static final Logger LOG = LoggerFactory.getLogger(MachineProbe.class);

  private final ClusterState cluster;
  private final AnswerHandler answers;
  private Consumer<Machine> answerListener = machine -> {};

  MachineProbe(ClusterState cluster, AnswerHandler answers) {
    this.cluster = cluster;
    this.answers = answers;
  }

  /** Told which machines have answered. */
  void setAnswerListener(Consumer<Machine> listener) {
    answerListener = listener;
  }

  /** A first sign: nothing new starts there before it has answered a question. */
  void suspectMissedAnswer(Machine machine) {
    machine.session.onMissedAnswer();
    probe(machine);
  }

  private void onUnanswered(Machine machine) {
    if (machine.session.onNoAnswer(cluster.now())) {
      LOG.info("host {} is deaf: its reports come, and our answers do not arrive", machine.host);
      cluster.metrics.count(Figures.Event.DEAF);
    }
  }

  /** Asks a machine directly how it is: after a change of hands, and when it has gone silent. */
  void probe(Machine machine) {
    if (machine.session.isProbeInFlight() || machine.endpoint == null) {
      return;
    }
    machine.session.setProbeInFlight(true);
    AnswerHandler.Known lastReport = AnswerHandler.Known.of(machine);
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
          } else if (answers.take(machine, lastReport, answer.reply())) {
            answerListener.accept(machine);
          }
        });
  }
}
