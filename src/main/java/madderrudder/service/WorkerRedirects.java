package madderrudder.service;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Which workers come here because they can't reach the leader. A worker that is sent to the leader
 * and is soon back has tried in vain; it is served here for a while, and then sent again, each
 * worker at another time, so that most find the leader soon after it can be reached, and few lose
 * time on it before. Where several of a zone were back lately, others of the zone are not sent in
 * vain first.
 */
final class WorkerRedirects {
  /**
   * A worker waits four seconds for an answer and one more before it tries the next node, of which
   * there may be two.
   */
  private static final long BACK_MICROS = 15_000_000;

  private static final long LEAST_SERVED_MICROS = 20_000_000;
  private static final long NEVER = Long.MIN_VALUE / 4;

  private final RandomGenerator random;
  private final int most;
  private final Map<String, Detour> detours =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Detour> eldest) {
          return size() > most;
        }
      };

  /** When workers of each zone last were back, the last three times; there are few zones. */
  private final Map<String, long[]> backs = new HashMap<>();

  /**
   * A worker that was sent to the leader, or, where {@code served}, is served here until the
   * moment.
   */
  private record Detour(boolean served, long untilMicros) {}

  /** {@code most} workers are remembered: as many as can be connected. */
  WorkerRedirects(RandomGenerator random, int most) {
    this.random = random;
    this.most = most;
  }

  /** Whether the worker is to be served here; otherwise it is to be sent to the leader. */
  boolean serves(String machine, String zone, long nowMicros) {
    Detour last = detours.remove(machine);
    boolean lasting = last != null && nowMicros < last.untilMicros();
    if (lasting && last.served()) {
      detours.put(machine, last);
      return true;
    }
    if (lasting) {
      long[] times = backs.computeIfAbsent(zone, name -> new long[] {NEVER, NEVER, NEVER});
      times[oldest(times)] = nowMicros;
    }
    boolean again = last != null && last.served();
    if (lasting || (!again && nowMicros - oldestBack(zone) < 2 * LEAST_SERVED_MICROS)) {
      long forMicros = LEAST_SERVED_MICROS + random.nextLong(LEAST_SERVED_MICROS);
      detours.put(machine, new Detour(true, nowMicros + forMicros));
      return true;
    }
    detours.put(machine, new Detour(false, nowMicros + BACK_MICROS));
    return false;
  }

  private long oldestBack(String zone) {
    long[] times = backs.get(zone);
    return times == null ? NEVER : times[oldest(times)];
  }

  private static int oldest(long[] times) {
    int oldest = 0;
    for (int i = 1; i < times.length; i++) {
      oldest = times[i] < times[oldest] ? i : oldest;
    }
    return oldest;
  }
}
