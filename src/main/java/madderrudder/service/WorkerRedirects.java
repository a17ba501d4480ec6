package madderrudder.service;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import madderrudder.util.BoundedMap;

/**
 * Which workers come here because they can't reach the leader. A worker that is redirected to the
 * leader and is soon back has tried in vain; it is served here for a while, and then redirected
 * again, each worker at another time, so that most find the leader soon after it can be reached,
 * and few lose time on it before. Where several of a zone were back lately, others of the zone are
 * not redirected in vain first.
 *
 * <p>Confined to the event loop thread; times are microseconds of the steady clock.
 */
final class WorkerRedirects {
  /**
   * A worker waits four seconds for an answer and one more before it tries the next node, of which
   * there may be two.
   */
  private static final long BACK_MICROS = 15_000_000;

  private static final long MIN_SERVED_MICROS = 20_000_000;

  /** So many workers of a zone that came back lately show that the zone is cut off. */
  private static final int RETURNS_OF_CUT_ZONE = 3;

  private static final long NEVER = Long.MIN_VALUE / 4;

  private final RandomGenerator random;
  private final Map<String, Decision> decisions;

  /** When workers of each zone came back the last three times; there are few zones. */
  private final Map<String, long[]> returns = new HashMap<>();

  /**
   * What was last decided of a worker.
   *
   * @param served whether it is served here, rather than was redirected
   * @param untilMicros until when it is served; or until when its return means that it was
   *     redirected in vain
   */
  private record Decision(boolean served, long untilMicros) {}

  /** {@code maxWorkers} are remembered: as many as can be connected. */
  WorkerRedirects(RandomGenerator random, int maxWorkers) {
    this.random = random;
    decisions = BoundedMap.evictingOldest(maxWorkers);
  }

  /** Whether the worker is to be served here; otherwise it is to be redirected to the leader. */
  boolean isServedHere(String machine, String zone, long nowMicros) {
    Decision last = decisions.remove(machine);
    boolean lasting = last != null && nowMicros < last.untilMicros();
    if (lasting && last.served()) {
      decisions.put(machine, last);
      return true;
    }
    if (lasting) {
      recordReturn(zone, nowMicros);
    }
    boolean wasServed = last != null && last.served();
    boolean serve = lasting || (!wasServed && isCutOff(zone, nowMicros));
    decisions.put(
        machine, serve ? served(nowMicros) : new Decision(false, nowMicros + BACK_MICROS));
    return serve;
  }

  private Decision served(long nowMicros) {
    long forMicros = MIN_SERVED_MICROS + random.nextLong(MIN_SERVED_MICROS);
    return new Decision(true, nowMicros + forMicros);
  }

  private void recordReturn(String zone, long nowMicros) {
    long[] times = returns.computeIfAbsent(zone, name -> neverReturned());
    times[oldest(times)] = nowMicros;
  }

  private static long[] neverReturned() {
    long[] times = new long[RETURNS_OF_CUT_ZONE];
    Arrays.fill(times, NEVER);
    return times;
  }

  private boolean isCutOff(String zone, long nowMicros) {
    long[] times = returns.get(zone);
    long oldestMicros = times == null ? NEVER : times[oldest(times)];
    return nowMicros - oldestMicros < 2 * MIN_SERVED_MICROS;
  }

  private static int oldest(long[] times) {
    int oldest = 0;
    for (int i = 1; i < times.length; i++) {
      oldest = times[i] < times[oldest] ? i : oldest;
    }
    return oldest;
  }
}
