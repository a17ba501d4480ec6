package madderrudder.sim;

/**
 * Captures copies of heartbeats and delivers them to every controller just as another one becomes
 * leader, and again seconds later, after it has acted on newer ones.
 */
final class HeartbeatReplay {
  private static final long SECOND = SimulatedCluster.SECOND;

  private final SimulatedCluster cluster;

  /** Copies that have reached a controller. */
  int delivered;

  HeartbeatReplay(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /**
   * Captures this share of heartbeats for the first time given, and waits for another leader for
   * the second.
   */
  void start(double share, long captureMicros, long waitMicros) {
    cluster.network.captureHeartbeats(share, captureMicros);
    deliverOnLeaderChange(cluster.highestTerm(), cluster.scheduler.nowMicros + waitMicros);
  }

  private void deliverOnLeaderChange(long term, long untilMicros) {
    cluster.scheduler.after(
        SECOND / 10,
        () -> {
          if (cluster.highestTerm() > term
              && cluster.controllerNames().stream().anyMatch(cluster::isLeader)) {
            deliverTwice();
          } else if (cluster.scheduler.nowMicros < untilMicros) {
            deliverOnLeaderChange(term, untilMicros);
          } else {
            cluster.network.discardCaptured();
          }
        });
  }

  private void deliverTwice() {
    deliver();
    cluster.scheduler.after(
        SECOND + cluster.scheduler.random.nextLong(5 * SECOND),
        () -> {
          deliver();
          cluster.network.discardCaptured();
        });
  }

  private void deliver() {
    for (String name : cluster.controllerNames()) {
      delivered += cluster.network.deliverCaptured(cluster.addressOf(name));
    }
  }
}
