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
 * Asks the store whether live jobs are still live, many with one request: a transaction of
 * conditions only tells which keys have another version by now. One request is under way at a time,
 * and what is asked meanwhile shares the next one. Reading each job at each poll of a user once
 * took the whole request rate with about a hundred unfinished jobs, and submissions had to wait.
 *
 * <p>Confined to the event loop thread.
 */
public final class LiveJobChecker {
  private final StoreClient store;
  private final int maxConditions;
  private final Map<Condition, List<Consumer<Answer>>> asked = new LinkedHashMap<>();
  private boolean inFlight;

  /** The answer for one job. */
  public enum Answer {
    /** The record is unchanged, so the job is not over. */
    LIVE,
    /** The record has changed or was deleted: read it anew. */
    MOVED,
    /** The store did not say. */
    UNKNOWN
  }

  /**
   * Creates a checker.
   *
   * @param maxConditions the most conditions in one request
   */
  public LiveJobChecker(StoreClient store, int maxConditions) {
    this.store = store;
    this.maxConditions = maxConditions;
  }

  /**
   * Checks one job. The answer holds at a moment after this call. While the store does not answer
   * and a request waits for it already, the answer is {@link Answer#UNKNOWN} at once.
   *
   * @param version the version of the job's record as last read
   * @param answer called once, on the event loop
   */
  public void ask(String job, long version, Consumer<Answer> answer) {
    if (inFlight && !store.isResponsive()) {
      answer.accept(Answer.UNKNOWN);
      return;
    }
    asked
        .computeIfAbsent(new Condition(Keys.live(job), version), c -> new ArrayList<>(1))
        .add(answer);
    flush();
  }

  private void flush() {
    if (inFlight || asked.isEmpty()) {
      return;
    }
    inFlight = true;
    Map<Condition, List<Consumer<Answer>>> batch = takeBatch();
    store.compare(List.copyOf(batch.keySet()), reply -> answered(batch, reply));
  }

  private Map<Condition, List<Consumer<Answer>>> takeBatch() {
    Map<Condition, List<Consumer<Answer>>> batch = new LinkedHashMap<>();
    var iterator = asked.entrySet().iterator();
    while (iterator.hasNext() && batch.size() < maxConditions) {
      Map.Entry<Condition, List<Consumer<Answer>>> next = iterator.next();
      batch.put(next.getKey(), next.getValue());
      iterator.remove();
    }
    return batch;
  }

  private void answered(Map<Condition, List<Consumer<Answer>>> batch, StoreReply<Long> reply) {
    inFlight = false;
    boolean known = reply.is(Outcome.OK) || reply.is(Outcome.CONFLICT);
    // After a failure those who asked meanwhile are answered too: to wait for another time-out
    // would be longer than users wait.
    List<List<Consumer<Answer>>> alsoUnknown = known ? List.of() : List.copyOf(asked.values());
    if (!known) {
      asked.clear();
    }
    Set<String> failed = new HashSet<>(reply.is(Outcome.CONFLICT) ? reply.failed() : List.of());
    batch.forEach(
        (condition, answers) -> {
          Answer result = known ? resultOf(condition, failed) : Answer.UNKNOWN;
          answers.forEach(answer -> answer.accept(result));
        });
    alsoUnknown.forEach(answers -> answers.forEach(answer -> answer.accept(Answer.UNKNOWN)));
    flush();
  }

  private static Answer resultOf(Condition condition, Set<String> failed) {
    return failed.contains(condition.key()) ? Answer.MOVED : Answer.LIVE;
  }
}
