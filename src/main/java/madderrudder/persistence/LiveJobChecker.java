package madderrudder.persistence;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.StoreCodec.Condition;

/**
 * Checks in the store whether jobs are still unfinished, many with one request: a transaction that
 * has conditions and no writes reports which keys have a different version. One request is in
 * flight at a time, and checks that arrive meanwhile are batched into the next one. Without
 * batching, one read per job and poll by a user exhausts the request rate limit at about a hundred
 * unfinished jobs, and submissions are delayed.
 *
 * <p>Confined to the event loop thread.
 */
public final class LiveJobChecker {
  private final StoreClient store;
  private final int maxConditions;
  private final Map<Condition, List<Consumer<Answer>>> pending = new LinkedHashMap<>();
  private boolean inFlight;

  /** The result of checking one job. */
  public enum Answer {
    /** The record is unchanged, so the job is unfinished. */
    LIVE,
    /** The record was changed or deleted and has to be read again. */
    CHANGED,
    /** The store did not return a result. */
    UNKNOWN
  }

  /**
   * Creates a checker.
   *
   * @param maxConditions the maximum number of conditions in one request
   */
  public LiveJobChecker(StoreClient store, int maxConditions) {
    this.store = store;
    this.maxConditions = maxConditions;
  }

  /**
   * Checks one job. The result reflects the store's state at a moment after this call. While the
   * store is unresponsive and a request is in flight, the result is {@link Answer#UNKNOWN}
   * immediately.
   *
   * @param job the job's id
   * @param version the version of the job's record as last read
   * @param callback receives the result once, on the event loop
   */
  public void check(String job, long version, Consumer<Answer> callback) {
    if (inFlight && !store.isResponsive()) {
      callback.accept(Answer.UNKNOWN);
      return;
    }
    pending
        .computeIfAbsent(new Condition(Keys.live(job), version), condition -> new ArrayList<>(1))
        .add(callback);
    flush();
  }

  private void flush() {
    if (inFlight || pending.isEmpty()) {
      return;
    }
    inFlight = true;
    Map<Condition, List<Consumer<Answer>>> batch = takeBatch();
    store.compare(List.copyOf(batch.keySet()), reply -> handleReply(batch, reply));
  }

  private Map<Condition, List<Consumer<Answer>>> takeBatch() {
    Map<Condition, List<Consumer<Answer>>> batch = new LinkedHashMap<>();
    var iterator = pending.entrySet().iterator();
    while (iterator.hasNext() && batch.size() < maxConditions) {
      Map.Entry<Condition, List<Consumer<Answer>>> next = iterator.next();
      batch.put(next.getKey(), next.getValue());
      iterator.remove();
    }
    return batch;
  }

  private void handleReply(Map<Condition, List<Consumer<Answer>>> batch, StoreReply<Long> reply) {
    inFlight = false;
    boolean known = reply.is(Outcome.OK) || reply.is(Outcome.CONFLICT);
    // A failed request also completes the checks that are pending: a second timeout would exceed
    // the time that users wait.
    List<List<Consumer<Answer>>> pendingCallbacks =
        known ? List.of() : List.copyOf(pending.values());
    if (!known) {
      pending.clear();
    }
    Set<String> failedKeys =
        new HashSet<>(reply.is(Outcome.CONFLICT) ? reply.failedKeys() : List.of());
    batch.forEach(
        (condition, callbacks) -> {
          Answer result = known ? resultOf(condition, failedKeys) : Answer.UNKNOWN;
          callbacks.forEach(callback -> callback.accept(result));
        });
    pendingCallbacks.forEach(
        callbacks -> callbacks.forEach(callback -> callback.accept(Answer.UNKNOWN)));
    flush();
  }

  private static Answer resultOf(Condition condition, Set<String> failedKeys) {
    return failedKeys.contains(condition.key()) ? Answer.CHANGED : Answer.LIVE;
  }
}
