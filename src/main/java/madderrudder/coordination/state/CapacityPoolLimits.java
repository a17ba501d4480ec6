package madderrudder.coordination.state;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits how many machines are requested from each capacity pool, judged by the outcome of the last
 * requests and boots. Each requested machine is reserved on the budget whether it comes or not
 * (refused requests stay counted), so that requests in full for machines that were not to be had
 * once used up the budget of a whole day's peak. After a refusal one machine is requested, and
 * several times as many after each request that was filled.
 *
 * <p>Confined to the event loop thread.
 */
public final class CapacityPoolLimits {
  /** The cloud accepts at most this many machines in one request. */
  public static final int MOST_PER_REQUEST = 50;

  /** For how long a pool that is exhausted, or whose machines fail to boot, is left alone. */
  private static final long PAUSE_MICROS = 20_000_000;

  /** One boot in fifty fails by chance; this many in a row do not. */
  private static final int FAILED_BOOTS = 3;

  /** The longest pause after failed boots, in multiples of {@link #PAUSE_MICROS}. */
  private static final int MOST_PAUSES = 4;

  /**
   * Grows from one machine to a full request within three requests: with two calls a second for
   * eight pools, doubling took half a minute.
   */
  private static final int GROWTH = 8;

  private final Map<CapacityPool, PoolState> states = new HashMap<>();

  /** The limit of one pool. */
  private static final class PoolState {
    int requestLimit = MOST_PER_REQUEST;
    long pausedUntilMicros = Long.MIN_VALUE;
    int failedBoots;
  }

  /** Makes limits that allow full requests from each pool. */
  public CapacityPoolLimits() {}

  private PoolState state(CapacityPool pool) {
    return states.computeIfAbsent(pool, p -> new PoolState());
  }

  /** How many machines are worth requesting from the pool now; 0 for none. */
  public int requestLimit(CapacityPool pool, long nowMicros) {
    PoolState state = states.get(pool);
    if (state == null) {
      return MOST_PER_REQUEST;
    }
    return state.pausedUntilMicros > nowMicros ? 0 : state.requestLimit;
  }

  /** Records that a request for {@code requested} machines was filled with {@code granted}. */
  public void recordAnswer(CapacityPool pool, int requested, int granted, long nowMicros) {
    PoolState state = state(pool);
    if (granted < requested) {
      state.requestLimit = Math.max(1, granted / 2);
      state.pausedUntilMicros = nowMicros + PAUSE_MICROS;
    } else {
      state.requestLimit =
          Math.min(MOST_PER_REQUEST, Math.max(state.requestLimit, GROWTH * granted));
    }
  }

  /** Records that a machine of the pool has booted. */
  public void recordBoot(CapacityPool pool) {
    state(pool).failedBoots = 0;
  }

  /** Records that a machine of the pool has not booted within a generous time. */
  public void recordBootFailure(CapacityPool pool, long nowMicros) {
    PoolState state = state(pool);
    if (++state.failedBoots >= FAILED_BOOTS) {
      state.requestLimit = 1;
      int pauses = Math.min(MOST_PAUSES, state.failedBoots - FAILED_BOOTS + 1);
      state.pausedUntilMicros =
          Math.max(state.pausedUntilMicros, nowMicros + pauses * PAUSE_MICROS);
    }
  }
}
