package dunlincroft.coordination;

/** Creates and connects the components that communicate with workers. */
final class WorkerProtocol {
  final ReportHandler reports;
  final MachineProbe probe;
  final DirectCommands commands;
  final HeartbeatHandler heartbeats;
  final FenceRaiser fences;

  WorkerProtocol(ClusterState cluster, PlacementLog placementLog) {
    fences = new FenceRaiser(cluster);
    WorkerOrders orders = new WorkerOrders(cluster, fences);
    reports = new ReportHandler(cluster, placementLog, new FaultAttribution(cluster, placementLog));
    AnswerHandler answers = new AnswerHandler(cluster, reports, fences);
    probe = new MachineProbe(cluster, answers);
    commands = new DirectCommands(cluster, orders, answers, probe);
    probe.setAnswerListener(commands::push);
    orders.setStartsDueListener(commands::push);
    heartbeats = new HeartbeatHandler(cluster, reports, orders, fences, probe);
  }
}
