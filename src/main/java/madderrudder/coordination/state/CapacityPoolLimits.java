package madderrudder.coordination.state;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits how many machines are requested from each capacity pool, based on the outcome of recent
 * requests and boots. Each requested machine counts against the budget even if the cloud refuses
 * it; full-size requests to exhausted pools once used up the budget for a whole day's peak. After a
 * request that was not filled the pool is paused, and the limit falls to half of what was granted,
 * at least one machine; it grows by a factor with each request that is filled.
 *
 * <p>Confined to the event loop thread.
 */
public final class CapacityPoolLimits {
  /** The cloud accepts at most this many machines in one request. */
  public static final int MAX_MACHINES_PER_REQUEST = 50;

  /** How long nothing is requested from a pool that is exhausted or whose machines fail to boot. */
  private static final long PAUSE_MICROS = 20_000_000;

  /**
   * Failed boots in a row that pause a pool. One boot in fifty fails by chance; this many do not.
   */
  private static final int FAILED_BOOTS_TO_PAUSE = 3;

  /** The longest pause after failed boots, in multiples of {@link #PAUSE_MICROS}. */
  private static final int MAX_PAUSES = 4;

  /**
   * The factor by which the limit grows with each filled request. It reaches a full request from
   * one machine within three requests; with two calls a second for eight pools, doubling took half
   * a minute.
   */
  private static final int GROWTH_FACTOR = 8;

  private final Map<CapacityPool, PoolState> states = new HashMap<>();

  /** The current limit and pause of one pool. */
  private static final class PoolState {
    int requestLimit = MAX_MACHINES_PER_REQUEST;
    long pausedUntilMicros = Long.MIN_VALUE;
    int failedBoots;
  }

  /** Creates limits that allow full requests to each pool. */
  public CapacityPoolLimits() {}

  private PoolState state(CapacityPool pool) {
    return states.computeIfAbsent(pool, p -> new PoolState());
  }

  /** The most machines that may be requested from the pool now; 0 while the pool is paused. */
  public int requestLimit(CapacityPool pool, long nowMicros) {
    PoolState state = states.get(pool);
    if (state == null) {
      return MAX_MACHINES_PER_REQUEST;
    }
    return state.pausedUntilMicros > nowMicros ? 0 : state.requestLimit;
  }

  /** Records that a request for {@code requested} machines was answered with {@code granted}. */
  public void recordAnswer(CapacityPool pool, int requested, int granted, long nowMicros) {
    PoolState state = state(pool);
    if (granted < requested) {
      state.requestLimit = Math.max(1, granted / 2);
      state.pausedUntilMicros = nowMicros + PAUSE_MICROS;
    } else {
      state.requestLimit =
          Math.min(MAX_MACHINES_PER_REQUEST, Math.max(state.requestLimit, GROWTH_FACTOR * granted));
    }
  }

  /** Records that a machine of the pool has booted. */
  public void recordBoot(CapacityPool pool) {
    state(pool).failedBoots = 0;
  }

  /** Records that a machine of the pool has not booted in time. */
  public void recordBootFailure(CapacityPool pool, long nowMicros) {
    PoolState state = state(pool);
    if (++state.failedBoots >= FAILED_BOOTS_TO_PAUSE) {
      state.requestLimit = 1;
      int pauses = Math.min(MAX_PAUSES, state.failedBoots - FAILED_BOOTS_TO_PAUSE + 1);
      state.pausedUntilMicros =
          Math.max(state.pausedUntilMicros, nowMicros + pauses * PAUSE_MICROS);
    }
  }
}
