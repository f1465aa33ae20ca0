package dunlincroft.coordination;

/** The parts that deal with workers, put together. */
final class WorkerProtocol {
  final ReportHandler reports;
  final MachineProbe probe;
  final DirectCommands commands;
  final HeartbeatHandler heartbeats;
  final FenceRaiser fences;

  WorkerProtocol(ClusterState world, Ledger ledger) {
    fences = new FenceRaiser(world);
    WorkerOrders orders = new WorkerOrders(world, fences);
    reports = new ReportHandler(world, ledger, new FaultAttribution(world, ledger));
    AnswerHandler answers = new AnswerHandler(world, reports, fences);
    probe = new MachineProbe(world, answers);
    commands = new DirectCommands(world, orders, answers, probe);
    probe.onAnswer(commands::push);
    orders.onStartsDue(commands::push);
    heartbeats = new HeartbeatHandler(world, reports, orders, probe);
  }
}
