package madderrudder.coordination.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import madderrudder.persistence.Keys;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.StoreCodec.KeyValue;

/**
 * Reads the state that a new leader needs from the store. Key ranges and single keys are read
 * concurrently, each range page by page. A failed read is retried until it succeeds or the term
 * ends. Confined to the event loop thread.
 */
public final class StoredStateReader {
  private static final long RETRY_DELAY_MICROS = 200_000;
  private static final List<String> RANGE_PREFIXES =
      List.of(Keys.LIVE, Keys.PROGRESS, Keys.LOG_SEGMENTS, Keys.RENTALS);
  private static final List<String> SINGLE_KEYS = List.of(Keys.BUDGET, Keys.OWNED);
  private static final long UNKNOWN_REVISION = -1;

  private final LeaderTerm term;
  private final Consumer<StoredState> onRead;
  private final Map<String, List<KeyValue>> rangeItems = new HashMap<>();
  private final Map<String, KeyValue> singleValues = new HashMap<>();
  private long liveJobsRevision = UNKNOWN_REVISION;
  private int pendingReads;

  private StoredStateReader(LeaderTerm term, Consumer<StoredState> onRead) {
    this.term = term;
    this.onRead = onRead;
  }

  /**
   * Starts to read the stored state.
   *
   * @param onRead called once, on the event loop, when all reads are complete; not called if the
   *     term ends before
   */
  public static void read(LeaderTerm term, Consumer<StoredState> onRead) {
    new StoredStateReader(term, onRead).start();
  }

  private void start() {
    List<String> prefixes = new ArrayList<>(RANGE_PREFIXES);
    if (term.learnedRunTimes != null) {
      prefixes.add(Keys.RUN_TIMES);
    }
    pendingReads = prefixes.size() + SINGLE_KEYS.size();
    for (String prefix : prefixes) {
      rangeItems.put(prefix, new ArrayList<>());
      readRange(prefix, "");
    }
    SINGLE_KEYS.forEach(this::readSingle);
  }

  /** Reads the range from behind the key {@code after}; if that is empty, from its start. */
  private void readRange(String prefix, String after) {
    term.store.range(
        prefix,
        after,
        reply -> {
          if (term.isClosed()) {
            return;
          }
          if (!reply.is(Outcome.OK)) {
            term.runAfter(RETRY_DELAY_MICROS, () -> readRange(prefix, after));
            return;
          }
          recordLiveJobsRevision(prefix, reply.value().revision());
          List<KeyValue> items = reply.value().items();
          rangeItems.get(prefix).addAll(items);
          if (reply.value().more() && !items.isEmpty()) {
            readRange(prefix, items.get(items.size() - 1).key());
          } else {
            completeRead();
          }
        });
  }

  /**
   * Records the revision of the first page of live jobs. A watch from there reports every change
   * that is made while later pages are read.
   */
  private void recordLiveJobsRevision(String prefix, long revision) {
    if (prefix.equals(Keys.LIVE) && liveJobsRevision == UNKNOWN_REVISION) {
      liveJobsRevision = revision;
    }
  }

  private void readSingle(String key) {
    term.store.get(
        key,
        reply -> {
          if (term.isClosed()) {
            return;
          }
          if (reply.is(Outcome.OK)) {
            singleValues.put(key, reply.value());
          } else if (!reply.is(Outcome.GONE)) {
            term.runAfter(RETRY_DELAY_MICROS, () -> readSingle(key));
            return;
          }
          completeRead();
        });
  }

  private void completeRead() {
    pendingReads--;
    if (pendingReads == 0) {
      onRead.accept(toStoredState());
    }
  }

  private StoredState toStoredState() {
    return new StoredState(
        rangeItems.get(Keys.LIVE),
        rangeItems.get(Keys.PROGRESS),
        rangeItems.get(Keys.LOG_SEGMENTS),
        rangeItems.get(Keys.RENTALS),
        rangeItems.getOrDefault(Keys.RUN_TIMES, List.of()),
        Optional.ofNullable(singleValues.get(Keys.BUDGET)),
        singleValues.containsKey(Keys.OWNED),
        liveJobsRevision);
  }
}
