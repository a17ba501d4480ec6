package madderrudder.persistence;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.StoreCodec.Condition;

/**
 * Asks the store whether live jobs are live still, many with one request: a transaction that only
 * compares tells which keys have another version by now. One is under way at a time, and what is
 * asked meanwhile goes together in the next. Reading each job for each poll once took the whole
 * request rate with some hundred unfinished jobs, and submissions waited behind.
 */
public final class LiveJobChecker {
  private final StoreClient store;
  private final int mostConditions;
  private final Map<Condition, List<Consumer<Answer>>> asked = new LinkedHashMap<>();
  private boolean inFlight;

  /** What the store said of one job. */
  public enum Answer {
    LIVE,
    MOVED,
    UNKNOWN
  }

  public LiveJobChecker(StoreClient store, int mostConditions) {
    this.store = store;
    this.mostConditions = mostConditions;
  }

  /**
   * Answers what holds at a moment after this call; at once, while the store is silent and somebody
   * waits for it already.
   */
  public void ask(String job, long version, Consumer<Answer> answer) {
    if (inFlight && !store.answersLately()) {
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
    Map<Condition, List<Consumer<Answer>>> batch = new LinkedHashMap<>();
    for (Iterator<Map.Entry<Condition, List<Consumer<Answer>>>> each = asked.entrySet().iterator();
        each.hasNext() && batch.size() < mostConditions; ) {
      Map.Entry<Condition, List<Consumer<Answer>>> next = each.next();
      batch.put(next.getKey(), next.getValue());
      each.remove();
    }
    store.compare(
        List.copyOf(batch.keySet()),
        reply -> {
          inFlight = false;
          Set<String> failed =
              new HashSet<>(reply.is(Outcome.CONFLICT) ? reply.failed() : List.of());
          boolean told = reply.is(Outcome.OK) || reply.is(Outcome.CONFLICT);
          // Who asked meanwhile would be held for another time-out, longer than users wait.
          List<List<Consumer<Answer>>> inVain = told ? List.of() : List.copyOf(asked.values());
          if (!told) {
            asked.clear();
          }
          batch.forEach(
              (condition, answers) ->
                  answers.forEach(
                      answer ->
                          answer.accept(
                              !told
                                  ? Answer.UNKNOWN
                                  : failed.contains(condition.key())
                                      ? Answer.MOVED
                                      : Answer.LIVE)));
          inVain.forEach(answers -> answers.forEach(answer -> answer.accept(Answer.UNKNOWN)));
          flush();
        });
  }
}
