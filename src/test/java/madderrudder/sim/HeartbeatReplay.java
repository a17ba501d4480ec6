package madderrudder.sim;

/**
 * Captures copies of heartbeats and delivers them to every controller right after a leader change,
 * and again seconds later, when the new leader has acted on newer heartbeats.
 */
final class HeartbeatReplay {
  private static final long SECOND = SimulatedCluster.SECOND;

  private final SimulatedCluster cluster;

  /** The number of copies delivered to controllers. */
  int delivered;

  HeartbeatReplay(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /**
   * Captures this share of heartbeats for {@code captureMicros}, and waits up to {@code waitMicros}
   * for a leader of a higher term; discards the copies if there is none.
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
