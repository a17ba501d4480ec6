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
 * Reads everything a new leader needs from the store: ranges page by page, and single keys, all at
 * the same time. A read that fails is repeated until it succeeds or the term ends. Confined to the
 * event loop thread.
 */
public final class StoredStateReader {
  private static final long RETRY_MICROS = 200_000;
  private static final List<String> PREFIXES =
      List.of(Keys.LIVE, Keys.PROGRESS, Keys.LOG_SEGMENTS, Keys.RENTALS);
  private static final List<String> SINGLE_KEYS = List.of(Keys.BUDGET, Keys.OWNED);
  private static final long UNKNOWN_REVISION = -1;

  private final LeaderTerm term;
  private final Consumer<StoredState> onRead;
  private final Map<String, List<KeyValue>> ranges = new HashMap<>();
  private final Map<String, KeyValue> singles = new HashMap<>();
  private long liveRevision = UNKNOWN_REVISION;
  private int openReads;

  private StoredStateReader(LeaderTerm term, Consumer<StoredState> onRead) {
    this.term = term;
    this.onRead = onRead;
  }

  /**
   * Starts to read the stored state.
   *
   * @param onRead called once, on the event loop, when all is read; never if the term ends before
   */
  public static void read(LeaderTerm term, Consumer<StoredState> onRead) {
    new StoredStateReader(term, onRead).start();
  }

  private void start() {
    List<String> prefixes = new ArrayList<>(PREFIXES);
    if (term.learned != null) {
      prefixes.add(Keys.RUN_TIMES);
    }
    openReads = prefixes.size() + SINGLE_KEYS.size();
    for (String prefix : prefixes) {
      ranges.put(prefix, new ArrayList<>());
      readRange(prefix, "");
    }
    SINGLE_KEYS.forEach(this::readSingle);
  }

  /** Reads what follows the key {@code since} in the range, empty for the start of the range. */
  private void readRange(String prefix, String since) {
    term.store.range(
        prefix,
        since,
        reply -> {
          if (term.closed()) {
            return;
          }
          if (!reply.is(Outcome.OK)) {
            term.after(RETRY_MICROS, () -> readRange(prefix, since));
            return;
          }
          rememberLiveRevision(prefix, reply.value().revision());
          List<KeyValue> items = reply.value().items();
          ranges.get(prefix).addAll(items);
          if (reply.value().more() && !items.isEmpty()) {
            readRange(prefix, items.get(items.size() - 1).key());
          } else {
            finishRead();
          }
        });
  }

  /** What changes while later pages are read comes again through the watch from the first one. */
  private void rememberLiveRevision(String prefix, long revision) {
    if (prefix.equals(Keys.LIVE) && liveRevision == UNKNOWN_REVISION) {
      liveRevision = revision;
    }
  }

  private void readSingle(String key) {
    term.store.get(
        key,
        reply -> {
          if (term.closed()) {
            return;
          }
          if (reply.is(Outcome.OK)) {
            singles.put(key, reply.value());
          } else if (!reply.is(Outcome.GONE)) {
            term.after(RETRY_MICROS, () -> readSingle(key));
            return;
          }
          finishRead();
        });
  }

  private void finishRead() {
    openReads--;
    if (openReads == 0) {
      onRead.accept(state());
    }
  }

  private StoredState state() {
    return new StoredState(
        ranges.get(Keys.LIVE),
        ranges.get(Keys.PROGRESS),
        ranges.get(Keys.LOG_SEGMENTS),
        ranges.get(Keys.RENTALS),
        ranges.getOrDefault(Keys.RUN_TIMES, List.of()),
        Optional.ofNullable(singles.get(Keys.BUDGET)),
        singles.containsKey(Keys.OWNED),
        liveRevision);
  }
}
