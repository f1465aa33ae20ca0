package dunlincroft.coordination;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Asks machines directly how they are, and judges by that whether they hear us. */
final class MachineProbe {
  private static final Logger LOG = LoggerFactory.getLogger(MachineProbe.class);

  private final ClusterState world;
  private final AnswerHandler answers;
  private Consumer<Machine> onAnswer = machine -> {};

  MachineProbe(ClusterState world, AnswerHandler answers) {
    this.world = world;
    this.answers = answers;
  }

  /** Told which machines have answered. */
  void onAnswer(Consumer<Machine> then) {
    onAnswer = then;
  }

  /** A first sign: nothing new starts there before it has answered a question. */
  void unsure(Machine machine) {
    machine.session.onMissedAnswer();
    probe(machine);
  }

  private void unanswered(Machine machine) {
    if (machine.session.onNoAnswer(world.now())) {
      LOG.info("host {} is deaf: its reports come, and our answers do not arrive", machine.host);
      world.metrics.count(Figures.Event.DEAF);
    }
  }

  /** Asks a machine directly how it is: after a change of hands, and when it has gone silent. */
  void probe(Machine machine) {
    if (machine.session.probing() || machine.endpoint == null) {
      return;
    }
    machine.session.onProbe(true);
    AnswerHandler.Known known = AnswerHandler.Known.of(machine);
    StatusQuery.ask(
        world.env,
        machine.host,
        machine.endpoint,
        answer -> {
          machine.session.onProbe(false);
          if (world.machines.get(machine.host) != machine) {
            return;
          }
          if (!answer.arrived()) {
            unanswered(machine);
          } else if (answers.take(machine, known, answer.reply())) {
            onAnswer.accept(machine);
          }
        });
  }
}
