package madderrudder.service;

import java.util.HashMap;
import java.util.Map;

/**
 * Shares the store's writes that are meant for users out among the controllers, by what their users
 * want: a balancer that finds one controller healthy first sends everybody there, and they stay.
 * Each controller works its own share out from what it has heard lately; one that is not heard
 * keeps an equal part, so that together they never take more.
 */
final class WriteRateAllocator {
  private static final long FRESH_MICROS = 2_000_000;
  private static final double RECENT_WEIGHT = 0.5;

  /**
   * What each controller counts as wanting at least, in writes a second: the next user may come to
   * any of them.
   */
  private static final double LEAST_WANTED = 1;

  private final double usersPerSecond;
  private final int members;
  private final Map<String, Heard> peers = new HashMap<>();
  private double wanted;
  private double lentPerSecond;
  private long lentMicros;

  private record Heard(double wanted, long atMicros) {}

  WriteRateAllocator(double usersPerSecond, int members) {
    this.usersPerSecond = usersPerSecond;
    this.members = members;
  }

  /** What users have wanted here since the last time, in writes a second. */
  void wanted(double perSecond) {
    wanted += RECENT_WEIGHT * (perSecond - wanted);
  }

  double wanted() {
    return wanted;
  }

  /** What users of another controller want. */
  void heard(String member, double perSecond, long nowMicros) {
    peers.put(member, new Heard(perSecond, nowMicros));
  }

  /** The leader leaves so much over of its own writes. */
  void lent(double perSecond, long nowMicros) {
    lentPerSecond = perSecond;
    lentMicros = nowMicros;
  }

  /** What users may have here. */
  double perSecond(long nowMicros) {
    double all = usersPerSecond + (nowMicros - lentMicros < FRESH_MICROS ? lentPerSecond : 0);
    double own = wanted + LEAST_WANTED;
    double sum = own;
    int heard = 1;
    for (Heard peer : peers.values()) {
      if (nowMicros - peer.atMicros() < FRESH_MICROS) {
        sum += peer.wanted() + LEAST_WANTED;
        heard++;
      }
    }
    return all * Math.min(heard, members) / members * own / sum;
  }
}
