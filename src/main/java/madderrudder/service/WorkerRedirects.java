package madderrudder.service;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import madderrudder.util.BoundedMap;

/**
 * Decides which workers this controller redirects to the leader and which it serves locally. A
 * worker that returns soon after a redirect could not reach the leader. It is served locally for a
 * random time and then redirected again. The random times spread the redirects, so that most
 * workers find the leader soon after it becomes reachable, and few lose time before that. If
 * several workers of a zone have returned recently, the zone counts as cut off from the leader, and
 * its other workers are served locally without a first redirect.
 *
 * <p>Confined to the event loop thread; times are microseconds of the monotonic clock.
 */
final class WorkerRedirects {
  /**
   * A worker that returns within this time after a redirect did not reach the leader. At each
   * controller it waits 4 s for a response and 1 s before it tries the next one, and it may try two
   * others before it returns.
   */
  private static final long RETURN_WINDOW_MICROS = 15_000_000;

  /** The shortest time for which a worker is served locally; the longest is almost twice that. */
  private static final long MIN_LOCAL_SERVICE_MICROS = 20_000_000;

  /** A zone counts as cut off after this many recent returns of its workers. */
  private static final int CUT_OFF_ZONE_RETURNS = 3;

  private static final long NEVER = Long.MIN_VALUE / 4;

  private final RandomGenerator random;
  private final Map<String, Decision> decisions;

  /** The times of the latest {@link #CUT_OFF_ZONE_RETURNS} returns in each zone; zones are few. */
  private final Map<String, long[]> returnTimesByZone = new HashMap<>();

  /**
   * The latest decision for a worker.
   *
   * @param servedLocally whether the worker is served locally; otherwise it was redirected
   * @param untilMicros the end of local service; or, after a redirect, the time before which a
   *     return of the worker means that it did not reach the leader
   */
  private record Decision(boolean servedLocally, long untilMicros) {}

  /**
   * Creates an instance without decisions.
   *
   * @param random draws the times of local service
   * @param maxWorkers the most workers whose decisions are kept, as many as can be connected
   */
  WorkerRedirects(RandomGenerator random, int maxWorkers) {
    this.random = random;
    decisions = BoundedMap.evictingOldest(maxWorkers);
  }

  /**
   * Decides on a heartbeat: true to serve the worker locally, false to redirect it to the leader.
   */
  boolean decideToServeLocally(String machine, String zone, long nowMicros) {
    Decision last = decisions.remove(machine);
    boolean inForce = last != null && nowMicros < last.untilMicros();
    if (inForce && last.servedLocally()) {
      decisions.put(machine, last);
      return true;
    }
    if (inForce) {
      recordReturn(zone, nowMicros);
    }
    boolean wasServedLocally = last != null && last.servedLocally();
    boolean serveLocally = inForce || (!wasServedLocally && isZoneCutOff(zone, nowMicros));
    decisions.put(
        machine,
        serveLocally
            ? newLocalService(nowMicros)
            : new Decision(false, nowMicros + RETURN_WINDOW_MICROS));
    return serveLocally;
  }

  private Decision newLocalService(long nowMicros) {
    long durationMicros = MIN_LOCAL_SERVICE_MICROS + random.nextLong(MIN_LOCAL_SERVICE_MICROS);
    return new Decision(true, nowMicros + durationMicros);
  }

  private void recordReturn(String zone, long nowMicros) {
    long[] times = returnTimesByZone.computeIfAbsent(zone, name -> emptyReturnTimes());
    times[indexOfOldest(times)] = nowMicros;
  }

  private static long[] emptyReturnTimes() {
    long[] times = new long[CUT_OFF_ZONE_RETURNS];
    Arrays.fill(times, NEVER);
    return times;
  }

  private boolean isZoneCutOff(String zone, long nowMicros) {
    long[] times = returnTimesByZone.get(zone);
    long oldestMicros = times == null ? NEVER : times[indexOfOldest(times)];
    return nowMicros - oldestMicros < 2 * MIN_LOCAL_SERVICE_MICROS;
  }

  private static int indexOfOldest(long[] times) {
    int oldestIndex = 0;
    for (int i = 1; i < times.length; i++) {
      oldestIndex = times[i] < times[oldestIndex] ? i : oldestIndex;
    }
    return oldestIndex;
  }
}
