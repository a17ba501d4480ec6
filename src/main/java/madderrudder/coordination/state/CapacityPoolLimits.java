package madderrudder.coordination.state;

import java.util.HashMap;
import java.util.Map;
import madderrudder.coordination.state.ScaleOutRequest.CapacityPool;

/**
 * How many machines of each type, zone and kind are worth asking for, judged by what came of the
 * last requests and boots. Each machine asked for is reserved on the budget whether it comes or not
 * (the source's §3: refused rentals stay counted), so that asking in full for what is not there
 * once used up the budget of a whole day's peak: after a refusal one machine is asked for, and
 * several times as many after each request that was filled.
 */
public final class CapacityPoolLimits {
  /** The cloud lets this many machines of one kind be rented by one request. */
  public static final int MOST_PER_REQUEST = 50;

  /** An empty shelf, or one whose machines do not come up, is left alone for so long. */
  private static final long EMPTY_MICROS = 20_000_000;

  /** One boot in fifty fails by itself; so many in a row do not. */
  private static final int FAILED_BOOTS = 3;

  private static final int LONGEST_PAUSE = 4;

  /**
   * From one to what one request may ask for within three: with two calls a second for eight
   * shelves, twice as many took half a minute.
   */
  private static final int GROWTH = 8;

  private final Map<CapacityPool, State> states = new HashMap<>();

  /** What is known of one shelf. */
  private static final class State {
    int most = MOST_PER_REQUEST;
    long emptyUntilMicros = Long.MIN_VALUE;
    int failedBoots;
  }

  private State state(CapacityPool shelf) {
    return states.computeIfAbsent(shelf, s -> new State());
  }

  /** How many are worth asking for now; 0 for none. */
  public int most(CapacityPool shelf, long nowMicros) {
    State state = states.get(shelf);
    return state == null ? MOST_PER_REQUEST : state.emptyUntilMicros > nowMicros ? 0 : state.most;
  }

  /** So many were asked for, and so many came. */
  public void answered(CapacityPool shelf, int asked, int came, long nowMicros) {
    State state = state(shelf);
    if (came < asked) {
      state.most = Math.max(1, came / 2);
      state.emptyUntilMicros = nowMicros + EMPTY_MICROS;
    } else {
      state.most = Math.min(MOST_PER_REQUEST, Math.max(state.most, GROWTH * came));
    }
  }

  /** A machine of the shelf has come up. */
  public void booted(CapacityPool shelf) {
    state(shelf).failedBoots = 0;
  }

  /** A machine of the shelf has not come up by far. */
  public void bootFailed(CapacityPool shelf, long nowMicros) {
    State state = state(shelf);
    if (++state.failedBoots >= FAILED_BOOTS) {
      state.most = 1;
      int pause = Math.min(LONGEST_PAUSE, state.failedBoots - FAILED_BOOTS + 1);
      state.emptyUntilMicros = Math.max(state.emptyUntilMicros, nowMicros + pause * EMPTY_MICROS);
    }
  }
}
