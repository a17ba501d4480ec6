package madderrudder.service;

import java.util.HashMap;
import java.util.Map;

/**
 * Shares the store's write rate that is meant for users out among the controllers, by the demand of
 * their users: a load balancer that finds one controller healthy first sends everybody there, and
 * they stay. Each controller works out its own share from what it has heard lately; one that is not
 * heard keeps an equal share, so that together they never exceed the rate.
 *
 * <p>Confined to the event loop thread; rates are writes a second, times microseconds of the steady
 * clock.
 */
final class WriteRateAllocator {
  private static final long FRESH_MICROS = 2_000_000;
  private static final double RECENT_WEIGHT = 0.5;

  /** Each controller counts as wanting this at least: the next user may come to any of them. */
  private static final double MIN_DEMAND = 1;

  private final double usersPerSecond;
  private final int members;
  private final Map<String, PeerDemand> peers = new HashMap<>();
  private double demandPerSecond;
  private double sparePerSecond;
  private long spareMicros;

  private record PeerDemand(double perSecond, long heardMicros) {}

  /**
   * Creates an allocator that knows of no demand.
   *
   * @param usersPerSecond the rate to be shared out
   * @param members the number of controllers
   */
  WriteRateAllocator(double usersPerSecond, int members) {
    this.usersPerSecond = usersPerSecond;
    this.members = members;
  }

  /** Notes what users have wanted here since the last time. */
  void recordDemand(double perSecond) {
    demandPerSecond += RECENT_WEIGHT * (perSecond - demandPerSecond);
  }

  /** The recent demand of the users here. */
  double demandPerSecond() {
    return demandPerSecond;
  }

  /** Notes the demand of the users of another controller. */
  void recordPeerDemand(String member, double perSecond, long nowMicros) {
    peers.put(member, new PeerDemand(perSecond, nowMicros));
  }

  /** Notes how much of its own rate the leader leaves over. */
  void recordSpare(double perSecond, long nowMicros) {
    sparePerSecond = perSecond;
    spareMicros = nowMicros;
  }

  /** The rate that users may have here at this moment. */
  double sharePerSecond(long nowMicros) {
    boolean spareFresh = nowMicros - spareMicros < FRESH_MICROS;
    double total = usersPerSecond + (spareFresh ? sparePerSecond : 0);
    double own = demandPerSecond + MIN_DEMAND;
    double sum = own;
    int heard = 1;
    for (PeerDemand peer : peers.values()) {
      if (nowMicros - peer.heardMicros() < FRESH_MICROS) {
        sum += peer.perSecond() + MIN_DEMAND;
        heard++;
      }
    }
    return total * Math.min(heard, members) / members * own / sum;
  }
}
