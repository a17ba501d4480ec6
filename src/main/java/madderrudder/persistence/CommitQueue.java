package madderrudder.persistence;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.Fields;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.StoreCodec;
import madderrudder.protocol.StoreCodec.Condition;
import madderrudder.protocol.StoreCodec.Write;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Queues a leader's changes and commits them to the store, one compare-and-swap transaction at a
 * time. Each transaction is conditioned on the version of the term key ({@link Keys#TERM}) and
 * rewrites it, so the leader's transactions form a chain that fences out stale writers: one that is
 * applied late, or comes from a leader that has been replaced, fails its condition and writes
 * nothing. When the term key's condition fails, the queue closes and calls {@code onLost}.
 *
 * <p>Not thread-safe: every method must be called on the event-loop thread of the {@link
 * Scheduler}, where the store's answers arrive too.
 */
public final class CommitQueue {
  private static final Logger LOG = LoggerFactory.getLogger(CommitQueue.class);
  private static final long RETRY_MICROS = 150_000;
  private static final long LATER_DELAY_MICROS = 4_000_000;

  /**
   * One write in this many may rewrite the term key, and fewer while the rate is nearly used up.
   */
  private static final double TERM_KEY_WRITE_SHARE = 5;

  private static final int SCARCE_SPACING_FACTOR = 2;
  private static final int MOST_COMMIT_BYTES = 48 * 1024;
  private static final int COMMIT_HEAD_BYTES = 512;

  /** What one write adds to a transaction beside its key and value. */
  private static final int WRITE_OVERHEAD_BYTES = 64;

  private static final int LATER_SHARE_DIVISOR = 8;

  /** How quickly the rate last used is forgotten, and how much more than that is kept back. */
  private static final double RECENT_WEIGHT = 0.3;

  private static final double KEPT_FACTOR = 1.3;
  private static final double LENT_SHARE = 0.9;

  private final Scheduler scheduler;
  private final StoreClient store;
  private final String member;
  private final long term;
  private final int mostWrites;
  private final long spacingMicros;
  private final double scarceWrites;
  private final RateLimiter writeLimiter;
  private final double writesPerSecond;
  private double recentPerSecond;
  private final Runnable onLost;
  private final Map<Urgency, Map<String, PendingChange>> queues = new EnumMap<>(Urgency.class);
  private long termKeyVersion;
  private long serial;
  private long nextMicros;
  private boolean inFlight;
  private boolean scheduled;
  private boolean lateScheduled;
  private boolean closed;

  /**
   * The order in which changes are written when there are more than one transaction takes; a change
   * queued at two urgencies keeps the more urgent one.
   */
  public enum Urgency {
    /** Somebody waits for it: a start, a rental. */
    FIRST,
    /** Written in the next transaction that has room. */
    SOON,
    /**
     * Nothing but a take-over depends on it: written when there is little else, or a little late.
     */
    LATER
  }

  /** What one transaction carries. */
  private record Batch(
      List<PendingChange> changes,
      List<Condition> conditions,
      byte[] body,
      int writes,
      long serial) {}

  /**
   * Creates the queue of one leader's term.
   *
   * @param scheduler the event loop; its clock is in microseconds
   * @param store the store client the transactions go through
   * @param member this node's name, written into the term key
   * @param term the leader's term
   * @param termKeyVersion the version of the term key that this leader wrote when it took over
   * @param mostWrites the most writes in one transaction
   * @param writesPerSecond the leader's write rate
   * @param onLost called once, on the event loop, when another leader has taken over or the term
   *     key is gone or unreadable
   */
  public CommitQueue(
      Scheduler scheduler,
      StoreClient store,
      String member,
      long term,
      long termKeyVersion,
      int mostWrites,
      double writesPerSecond,
      Runnable onLost) {
    this.scheduler = scheduler;
    this.store = store;
    this.member = member;
    this.term = term;
    this.termKeyVersion = termKeyVersion;
    this.mostWrites = mostWrites;
    spacingMicros = (long) (TERM_KEY_WRITE_SHARE * 1e6 / writesPerSecond);
    scarceWrites = writesPerSecond / 2;
    this.writesPerSecond = writesPerSecond;
    writeLimiter = new RateLimiter(scheduler, writesPerSecond, writesPerSecond);
    this.onLost = onLost;
    for (Urgency urgency : Urgency.values()) {
      queues.put(urgency, new LinkedHashMap<>());
    }
  }

  /**
   * Renders the term key's value: the term, the leader's name and a serial number that each commit
   * raises. The JSON layout ({@code term}, {@code member}, {@code serial}) is stored and must not
   * change.
   */
  public static byte[] helm(long term, String member, long serial) {
    return Json.object(
        out -> {
          out.writeNumberField("term", term);
          out.writeStringField("member", member);
          out.writeNumberField("serial", serial);
        });
  }

  /**
   * Reads the term from the term key's value.
   *
   * @throws MalformedMessage if the field {@code term} is missing or not a count
   */
  public static long readTerm(Fields helm) throws MalformedMessageException {
    return helm.count("term");
  }

  /** Nothing is sent any more; an answer that still comes is ignored. */
  public void close() {
    closed = true;
    queues.values().forEach(Map::clear);
  }

  /**
   * Writes the change together with others named in the same turn. Named in two queues, the earlier
   * one counts.
   */
  public void add(PendingChange change, Urgency urgency) {
    for (Urgency other : Urgency.values()) {
      if (other.compareTo(urgency) < 0 && queues.get(other).containsKey(change.name())) {
        return;
      }
      if (other.compareTo(urgency) > 0) {
        queues.get(other).remove(change.name());
      }
    }
    queues.get(urgency).putIfAbsent(change.name(), change);
    if (urgency != Urgency.LATER) {
      flushSoon();
    } else if (!lateScheduled) {
      lateScheduled = true;
      scheduler.after(
          LATER_DELAY_MICROS,
          () -> {
            lateScheduled = false;
            flushSoon();
          });
    }
  }

  private boolean nothingDue() {
    return queues.get(Urgency.FIRST).isEmpty()
        && queues.get(Urgency.SOON).isEmpty()
        && (lateScheduled || queues.get(Urgency.LATER).isEmpty());
  }

  /**
   * Transactions keep a distance, so that rewriting the term key takes only a part of the write
   * rate.
   */
  private void flushSoon() {
    if (scheduled || inFlight || closed || nothingDue()) {
      return;
    }
    scheduled = true;
    scheduler.after(
        Math.max(0, nextMicros - scheduler.nowMicros()),
        () -> {
          scheduled = false;
          flush();
        });
  }

  /**
   * What the leader is likely to leave over of its write rate in the next second, judged by the
   * time since the last look. Nothing, while more waits than one transaction takes.
   */
  public double spareWritesPerSecond(long sinceMicros) {
    double perSecond = writeLimiter.takeSpent() * 1e6 / Math.max(1, sinceMicros);
    recentPerSecond += RECENT_WEIGHT * (perSecond - recentPerSecond);
    return backlog() > mostWrites
        ? 0
        : Math.max(0, LENT_SHARE * writesPerSecond - KEPT_FACTOR * recentPerSecond);
  }

  /** How many changes wait to be written, at all urgencies together. */
  public int backlog() {
    return queues.values().stream().mapToInt(Map::size).sum();
  }

  private void flush() {
    if (closed || inFlight || nothingDue()) {
      return;
    }
    Batch batch = build();
    if (batch != null) {
      inFlight = true;
      nextMicros =
          scheduler.nowMicros()
              + (writeLimiter.left() < scarceWrites
                  ? SCARCE_SPACING_FACTOR * spacingMicros
                  : spacingMicros);
      writeLimiter.run(
          batch.writes(),
          () -> {
            if (!closed) {
              send(batch, false);
            }
          });
    }
  }

  private Batch build() {
    List<PendingChange> changes = new ArrayList<>();
    List<Write> writes = new ArrayList<>();
    List<Condition> conditions = new ArrayList<>();
    conditions.add(new Condition(Keys.TERM, termKeyVersion));
    serial++;
    writes.add(Write.put(Keys.TERM, helm(term, member, serial)));
    BatchFiller filler = new BatchFiller(changes, conditions, writes);
    if (filler.from(queues.get(Urgency.FIRST), mostWrites)
        && filler.from(queues.get(Urgency.SOON), mostWrites)) {
      // What can wait takes what the rate leaves over, and a little always, so that it is written
      // some time.
      int spare =
          (int) Math.max(writes.size() + mostWrites / LATER_SHARE_DIVISOR, writeLimiter.left());
      filler.from(queues.get(Urgency.LATER), Math.min(mostWrites, spare));
    }
    return new Batch(
        changes, conditions, StoreCodec.commit(conditions, writes), writes.size(), serial);
  }

  /** A transaction being filled. */
  private static final class BatchFiller {
    private final List<PendingChange> changes;
    private final List<Condition> conditions;
    private final List<Write> writes;
    private int bytes = COMMIT_HEAD_BYTES;

    BatchFiller(List<PendingChange> changes, List<Condition> conditions, List<Write> writes) {
      this.changes = changes;
      this.conditions = conditions;
      this.writes = writes;
    }

    /** Takes changes while they fit; false if some were left. Even a large one goes alone. */
    boolean from(Map<String, PendingChange> queue, int mostWrites) {
      for (var iterator = queue.values().iterator(); iterator.hasNext(); ) {
        PendingChange change = iterator.next();
        List<Write> more = change.writes();
        int size = 0;
        for (Write write : more) {
          size +=
              write.key().length()
                  + WRITE_OVERHEAD_BYTES
                  + (write.value() == null ? 0 : write.value().length);
        }
        if (!changes.isEmpty()
            && (writes.size() + more.size() > mostWrites || bytes + size > MOST_COMMIT_BYTES)) {
          return false;
        }
        iterator.remove();
        changes.add(change);
        writes.addAll(more);
        conditions.addAll(change.conditions());
        bytes += size;
      }
      return true;
    }
  }

  private void send(Batch batch, boolean maybeApplied) {
    store.commitUrgent(
        batch.body(),
        reply -> {
          if (closed) {
            return;
          }
          switch (reply.outcome()) {
            case OK -> applied(batch, reply.value());
            case CONFLICT -> {
              if (maybeApplied && reply.failed().contains(Keys.TERM)) {
                checkEarlierCopy(batch);
              } else {
                conflict(batch, new HashSet<>(reply.failed()));
              }
            }
            case REFUSED -> retryLater(() -> send(batch, maybeApplied));
            // Silence may mean that it was applied, or will be: the same transaction is sent again,
            // and at most one of the copies can find the term key at the expected version.
            case UNKNOWN -> retryLater(() -> send(batch, true));
            default -> giveUp("the store rejects transactions");
          }
        });
  }

  private void retryLater(Runnable retry) {
    scheduler.after(
        RETRY_MICROS,
        () -> {
          if (!closed) {
            retry.run();
          }
        });
  }

  private void applied(Batch batch, long version) {
    termKeyVersion = version;
    inFlight = false;
    for (PendingChange change : batch.changes()) {
      change.committed();
    }
    flushSoon();
  }

  /** After a silence: did an earlier copy get through? */
  private void checkEarlierCopy(Batch batch) {
    store.getUrgent(
        Keys.TERM,
        reply -> {
          if (closed) {
            return;
          }
          if (reply.is(Outcome.OK)) {
            try {
              Fields helm = reply.value().value();
              if (readTerm(helm) == term && helm.count("serial") == batch.serial()) {
                applied(batch, reply.value().version());
              } else {
                giveUp("another leader has taken over");
              }
            } catch (MalformedMessageException e) {
              giveUp("the term key is unreadable");
            }
          } else if (reply.is(Outcome.GONE)) {
            giveUp("the term key is gone");
          } else {
            retryLater(() -> checkEarlierCopy(batch));
          }
        });
  }

  private void conflict(Batch batch, Set<String> failed) {
    if (failed.contains(Keys.TERM)) {
      giveUp("another leader has taken over");
      return;
    }
    inFlight = false;
    for (PendingChange change : batch.changes()) {
      if (change.conditions().stream().anyMatch(c -> failed.contains(c.key()))) {
        change.rejected();
      } else {
        add(change, Urgency.FIRST);
      }
    }
    flushSoon();
  }

  private void giveUp(String why) {
    if (!closed) {
      LOG.info("term {}: {}", term, why);
      close();
      onLost.run();
    }
  }
}
