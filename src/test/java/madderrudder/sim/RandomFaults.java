package madderrudder.sim;

import static madderrudder.sim.SimulatedCluster.SECOND;

import java.util.ArrayList;
import java.util.List;

/**
 * Draws faults and injects them into a cluster. The cases are numbered and each draws in a fixed
 * order, since both are part of what a seed replays.
 */
final class RandomFaults {
  private final SimulatedCluster cluster;
  private final SimScheduler scheduler;
  private final SimNetwork network;
  private final SimStore store;
  private final SimCloud cloud;
  private final SimUsers users;

  RandomFaults(SimulatedCluster cluster) {
    this.cluster = cluster;
    scheduler = cluster.scheduler;
    network = cluster.network;
    store = cluster.store;
    cloud = cluster.cloud;
    users = cluster.users;
  }

  /** Injects one random fault, which lasts for half a minute at most. */
  void inject() {
    long forMicros = SECOND * (2 + scheduler.random.nextLong(30));
    boolean buffered = scheduler.chance(0.6);
    String node = cluster.controllers().get(scheduler.random.nextInt(3));
    List<SimWorker> workers = new ArrayList<>(cloud.workers());
    SimWorker worker =
        workers.isEmpty() ? null : workers.get(scheduler.random.nextInt(workers.size()));
    switch (scheduler.random.nextInt(40)) {
      case 0 -> cluster.crash(node, 3 * SECOND);
      case 1 ->
          cluster
              .controllers()
              .forEach(name -> cluster.crash(name, 2 * SECOND + scheduler.random.nextLong(SECOND)));
      case 2 -> store.outage(forMicros);
      case 3 -> store.refuse(node, forMicros);
      case 4 -> network.partition(node, "store", buffered, forMicros);
      case 5 -> cluster.partitionFromWorkers(node, buffered, forMicros);
      case 6 ->
          cluster
              .controllers()
              .forEach(other -> network.partition(node, other, buffered, forMicros));
      case 7 -> cloud.outage(forMicros);
      case 8 -> network.partition(node, "cloud", buffered, forMicros);
      case 9 -> cluster.isolate(node, buffered, forMicros);
      case 10 -> cluster.pause(node, forMicros);
      case 11 -> cluster.partitionControllers(forMicros);
      case 12 -> store.slowDown(30, forMicros);
      case 13 ->
          cluster.partitionZone(
              cluster.deployment.zones().get(scheduler.random.nextInt(2)), buffered, forMicros);
      // For longer than a lease or not; each controller restarts by itself, and may crash again
      // soon after.
      case 14 -> {
        cluster.crashAll(forMicros, 2 * SECOND + scheduler.random.nextLong(30 * SECOND), SECOND);
        scheduler.after(
            forMicros + scheduler.random.nextLong(3 * SECOND),
            () -> cluster.crash(cluster.controllers().get(0), 2 * SECOND));
      }
      case 15 -> {
        store.outage(forMicros);
        cluster.crashAll(
            forMicros + scheduler.random.nextLong(2 * SECOND), forMicros / 2, forMicros / 3);
      }
      case 16 -> blockInboundOfSome(workers, forMicros);
      case 17 -> network.duplicateMessages(forMicros, forMicros + 10 * SECOND);
      case 18 -> cluster.isolateFromStoreAndPeers(node, buffered, forMicros);
      case 19 -> cluster.flap(node);
      case 20 -> cluster.controllers().forEach(cluster::flap);
      case 21 -> users.pollMoreOften(8, forMicros);
      case 22 ->
          cloud.slowBoots(
              scheduler.chance(0.5) ? 0.6 : 0, scheduler.chance(0.5) ? 5 : 0.05, forMicros);
      case 23 -> refuseLeaderThenAll();
      case 24 -> store.delayCommits(0.3, forMicros);
      case 25 -> network.delayHeartbeatCopies(0.4, forMicros, 40 * SECOND);
      case 26 -> store.failRangeReads(forMicros / 2);
      case 27 ->
          workers.stream()
              .filter(one -> scheduler.chance(0.3))
              .forEach(
                  one ->
                      network.partition(
                          cluster.leader(),
                          one.id,
                          true,
                          SECOND + scheduler.random.nextLong(8 * SECOND)));
      case 28 -> cluster.cancelAndHang(5, forMicros);
      case 29 -> users.cancelAtCompletion(0.6, forMicros);
      case 30 ->
          workers.stream()
              .filter(one -> scheduler.chance(0.3))
              .forEach(one -> network.blockOutbound(one.id, forMicros));
      case 31 -> users.sendInvalidRequests(forMicros);
      case 32 -> users.pollClosely(forMicros);
      case 33 -> store.loseReplies(0.3, forMicros);
      case 34 -> cluster.replayHeartbeatsToNextLeader(0.4, forMicros, forMicros);
      case 35 -> network.slowDown(150, forMicros);
      default -> {
        if (worker != null) {
          workerFault(worker, buffered, forMicros);
        }
      }
    }
  }

  /**
   * The store refuses the leader alone while users cancel, and then everybody, mostly for longer
   * than the cancellation time.
   */
  private void refuseLeaderThenAll() {
    store.refuse(cluster.leader(), SECOND + scheduler.random.nextLong(12 * SECOND));
    users.cancelRunning(4);
    scheduler.after(
        SECOND + scheduler.random.nextLong(2 * SECOND),
        () ->
            store.outage(
                (long)
                    (cluster.deployment.workers().cancelMicros()
                        * (0.5 + 0.7 * scheduler.random.nextDouble()))));
  }

  /** One machine, a tenth of them or a zone sends heartbeats, and nothing reaches it. */
  private void blockInboundOfSome(List<SimWorker> workers, long forMicros) {
    int which = scheduler.random.nextInt(3);
    String zone = cluster.deployment.zones().get(scheduler.random.nextInt(2));
    for (SimWorker worker : workers) {
      boolean blocked =
          switch (which) {
            case 0 -> worker == workers.get(0);
            case 1 -> scheduler.chance(0.1);
            default -> worker.zone.equals(zone);
          };
      if (blocked) {
        network.blockInbound(worker.id, forMicros);
      }
    }
  }

  private void workerFault(SimWorker worker, boolean buffered, long forMicros) {
    switch (scheduler.random.nextInt(5)) {
      case 4 -> worker.restart(scheduler.chance(0.5));
      case 0 -> worker.hang(forMicros);
      case 1 ->
          cluster
              .controllers()
              .forEach(name -> network.partition(name, worker.id, buffered, forMicros));
      case 2 -> {
        if (worker.spot) {
          worker.announceReclaim(8 * SECOND);
          scheduler.after(8 * SECOND, () -> cloud.terminate(worker));
        }
      }
      default -> cloud.terminate(worker);
    }
  }
}
