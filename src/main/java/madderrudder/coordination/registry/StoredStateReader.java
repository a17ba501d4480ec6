package madderrudder.coordination.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import madderrudder.persistence.Keys;
import madderrudder.persistence.StoreClient;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.StoreCodec.Item;

/** Reads everything a new leader needs, by ranges, until all of it has been read. */
public final class StoredStateReader {
  private static final long RETRY_MICROS = 200_000;
  private static final List<String> PREFIXES =
      List.of(Keys.LIVE, Keys.PROGRESS, Keys.PAGES, Keys.RENTALS);
  private static final List<String> SINGLES = List.of(Keys.BUDGET, Keys.OWNED);

  /** What the store holds; {@code liveRevision} is from where to follow the live jobs. */
  public record Found(
      Map<String, List<Item>> ranges, Map<String, Item> singles, long liveRevision) {
    public List<Item> under(String prefix) {
      return ranges.get(prefix);
    }
  }

  private final LeaderTerm term;
  private final Consumer<Found> done;
  private final Map<String, List<Item>> ranges = new HashMap<>();
  private final Map<String, Item> singles = new HashMap<>();
  private long liveRevision = -1;
  private int open;

  private StoredStateReader(LeaderTerm term, Consumer<Found> done) {
    this.term = term;
    this.done = done;
  }

  public static void read(LeaderTerm term, Consumer<Found> done) {
    StoredStateReader reading = new StoredStateReader(term, done);
    List<String> prefixes = new ArrayList<>(PREFIXES);
    if (term.learned != null) {
      prefixes.add(Keys.RUN_TIMES);
    }
    reading.open = prefixes.size() + SINGLES.size();
    for (String prefix : prefixes) {
      reading.ranges.put(prefix, new ArrayList<>());
      reading.page(prefix, "");
    }
    for (String key : SINGLES) {
      reading.single(key);
    }
  }

  private void page(String prefix, String since) {
    StoreClient store = term.store;
    store.range(
        prefix,
        since,
        reply -> {
          if (term.closed()) {
            return;
          }
          if (!reply.is(Outcome.OK)) {
            term.after(RETRY_MICROS, () -> page(prefix, since));
            return;
          }
          // What changes while later pages are read comes again through the watch from the first
          // one.
          if (prefix.equals(Keys.LIVE) && liveRevision < 0) {
            liveRevision = reply.value().revision();
          }
          List<Item> items = reply.value().items();
          ranges.get(prefix).addAll(items);
          if (reply.value().more() && !items.isEmpty()) {
            page(prefix, items.get(items.size() - 1).key());
          } else {
            finishOne();
          }
        });
  }

  private void single(String key) {
    term.store.get(
        key,
        reply -> {
          if (term.closed()) {
            return;
          }
          if (reply.is(Outcome.OK)) {
            singles.put(key, reply.value());
          } else if (!reply.is(Outcome.GONE)) {
            term.after(RETRY_MICROS, () -> single(key));
            return;
          }
          finishOne();
        });
  }

  private void finishOne() {
    if (--open == 0) {
      done.accept(new Found(ranges, singles, liveRevision));
    }
  }
}
