package madderrudder.service;

import java.util.HashMap;
import java.util.Map;

/**
 * Divides the part of the store's write rate that users get among the controllers, in proportion to
 * the demand of their users. Demand may be uneven: a load balancer that finds one controller
 * healthy first sends all users there, and they stay. Each controller computes its own share from
 * the recent reports of its peers. For each peer without a recent report, an equal share stays
 * reserved, so that the shares together never exceed the rate.
 *
 * <p>Confined to the event loop thread. Rates are writes per second; times are microseconds of the
 * monotonic clock.
 */
final class WriteRateAllocator {
  private static final long MAX_REPORT_AGE_MICROS = 2_000_000;

  /** The weight of the latest period in the moving average of the local demand. */
  private static final double LATEST_DEMAND_WEIGHT = 0.5;

  /** Added to the demand of each controller, since the next user may connect to any of them. */
  private static final double MIN_DEMAND_PER_SECOND = 1;

  private final double userWritesPerSecond;
  private final int memberCount;
  private final Map<String, PeerDemand> peerDemands = new HashMap<>();
  private double localDemandPerSecond;
  private double sparePerSecond;
  private long spareReceivedMicros;

  /** A peer's latest report of its demand. */
  private record PeerDemand(double perSecond, long receivedMicros) {}

  /**
   * Creates an allocator without demand.
   *
   * @param userWritesPerSecond the rate to be divided among the controllers
   * @param memberCount the number of controllers
   */
  WriteRateAllocator(double userWritesPerSecond, int memberCount) {
    this.userWritesPerSecond = userWritesPerSecond;
    this.memberCount = memberCount;
  }

  /** Records the rate that users of this controller have requested since the previous call. */
  void recordLocalDemand(double perSecond) {
    localDemandPerSecond += LATEST_DEMAND_WEIGHT * (perSecond - localDemandPerSecond);
  }

  /** The moving average of the demand of this controller's users. */
  double localDemandPerSecond() {
    return localDemandPerSecond;
  }

  /** Records the demand that a peer reports for its users. */
  void recordPeerDemand(String member, double perSecond, long nowMicros) {
    peerDemands.put(member, new PeerDemand(perSecond, nowMicros));
  }

  /** Records the part of its own write rate that the leader currently leaves to users. */
  void recordSpare(double perSecond, long nowMicros) {
    sparePerSecond = perSecond;
    spareReceivedMicros = nowMicros;
  }

  /** The current share of this controller's users. */
  double localSharePerSecond(long nowMicros) {
    boolean isSpareFresh = nowMicros - spareReceivedMicros < MAX_REPORT_AGE_MICROS;
    double totalPerSecond = userWritesPerSecond + (isSpareFresh ? sparePerSecond : 0);
    double localDemand = localDemandPerSecond + MIN_DEMAND_PER_SECOND;
    double totalDemand = localDemand;
    int reportingMembers = 1;
    for (PeerDemand peer : peerDemands.values()) {
      if (nowMicros - peer.receivedMicros() < MAX_REPORT_AGE_MICROS) {
        totalDemand += peer.perSecond() + MIN_DEMAND_PER_SECOND;
        reportingMembers++;
      }
    }
    return totalPerSecond
        * Math.min(reportingMembers, memberCount)
        / memberCount
        * localDemand
        / totalDemand;
  }
}
