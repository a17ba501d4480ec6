package madderrudder.bookkeeping;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import madderrudder.bookkeeping.StoreReply.Outcome;
import madderrudder.protocol.Fields;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessage;
import madderrudder.protocol.StoreCodec;
import madderrudder.protocol.StoreCodec.Condition;
import madderrudder.protocol.StoreCodec.Write;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes a leader's changes, one transaction at a time. Each transaction is conditioned on the
 * version of the term key and rewrites it, so the leader's transactions form a chain: one that is
 * applied late, or comes from a leader that has been replaced, breaks off and writes nothing.
 */
public final class Journal {
  private static final Logger LOG = LoggerFactory.getLogger(Journal.class);
  private static final long RETRY_MICROS = 150_000;
  private static final long LATER_MICROS = 4_000_000;

  /**
   * One write in this many may rewrite the term key, and fewer while the rate is nearly used up.
   */
  private static final double HELM_SHARE = 5;

  private static final int SCARCE_FACTOR = 2;
  private static final int MOST_BYTES = 48 * 1024;
  private static final int HEAD_BYTES = 512;
  private static final int LATER_PART = 8;

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
  private final double scarce;
  private final Pace pace;
  private final double writesPerSecond;
  private double recentPerSecond;
  private final Runnable onLost;
  private final Map<Lane, Map<String, Change>> lanes = new EnumMap<>(Lane.class);
  private long helmVersion;
  private long serial;
  private long nextMicros;
  private boolean inFlight;
  private boolean scheduled;
  private boolean lateScheduled;
  private boolean closed;

  /** In which order changes are written when there are more than the store takes at once. */
  public enum Lane {
    /** Somebody waits for it: a start, a rental. */
    FIRST,
    SOON,
    /**
     * Nothing but a take-over depends on it: written when there is little else, or a little late.
     */
    LATER
  }

  /** What one transaction carries. */
  private record Batch(
      List<Change> changes, List<Condition> conditions, byte[] body, int writes, long serial) {}

  public Journal(
      Scheduler scheduler,
      StoreClient store,
      String member,
      long term,
      long helmVersion,
      int mostWrites,
      double writesPerSecond,
      Runnable onLost) {
    this.scheduler = scheduler;
    this.store = store;
    this.member = member;
    this.term = term;
    this.helmVersion = helmVersion;
    this.mostWrites = mostWrites;
    spacingMicros = (long) (HELM_SHARE * 1e6 / writesPerSecond);
    scarce = writesPerSecond / 2;
    this.writesPerSecond = writesPerSecond;
    pace = new Pace(scheduler, writesPerSecond, writesPerSecond);
    this.onLost = onLost;
    for (Lane lane : Lane.values()) {
      lanes.put(lane, new LinkedHashMap<>());
    }
  }

  public static byte[] helm(long term, String member, long serial) {
    return Json.object(
        out -> {
          out.writeNumberField("term", term);
          out.writeStringField("member", member);
          out.writeNumberField("serial", serial);
        });
  }

  public static long readTerm(Fields helm) throws MalformedMessage {
    return helm.count("term");
  }

  /** Nothing is sent any more; an answer that still comes is ignored. */
  public void close() {
    closed = true;
    lanes.values().forEach(Map::clear);
  }

  /**
   * Writes the change together with others named in the same turn. Named in two lanes, the earlier
   * one counts.
   */
  public void add(Change change, Lane lane) {
    for (Lane other : Lane.values()) {
      if (other.compareTo(lane) < 0 && lanes.get(other).containsKey(change.name())) {
        return;
      }
      if (other.compareTo(lane) > 0) {
        lanes.get(other).remove(change.name());
      }
    }
    lanes.get(lane).putIfAbsent(change.name(), change);
    if (lane != Lane.LATER) {
      flushSoon();
    } else if (!lateScheduled) {
      lateScheduled = true;
      scheduler.after(
          LATER_MICROS,
          () -> {
            lateScheduled = false;
            flushSoon();
          });
    }
  }

  private boolean nothingDue() {
    return lanes.get(Lane.FIRST).isEmpty()
        && lanes.get(Lane.SOON).isEmpty()
        && (lateScheduled || lanes.get(Lane.LATER).isEmpty());
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
    double perSecond = pace.takeSpent() * 1e6 / Math.max(1, sinceMicros);
    recentPerSecond += RECENT_WEIGHT * (perSecond - recentPerSecond);
    return backlog() > mostWrites
        ? 0
        : Math.max(0, LENT_SHARE * writesPerSecond - KEPT_FACTOR * recentPerSecond);
  }

  public int backlog() {
    return lanes.values().stream().mapToInt(Map::size).sum();
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
              + (pace.left() < scarce ? SCARCE_FACTOR * spacingMicros : spacingMicros);
      pace.run(
          batch.writes(),
          () -> {
            if (!closed) {
              send(batch, false);
            }
          });
    }
  }

  private Batch build() {
    List<Change> changes = new ArrayList<>();
    List<Write> writes = new ArrayList<>();
    List<Condition> conditions = new ArrayList<>();
    conditions.add(new Condition(Keys.HELM, helmVersion));
    serial++;
    writes.add(Write.put(Keys.HELM, helm(term, member, serial)));
    Filling filling = new Filling(changes, conditions, writes);
    if (filling.from(lanes.get(Lane.FIRST), mostWrites)
        && filling.from(lanes.get(Lane.SOON), mostWrites)) {
      // What can wait takes what the rate leaves over, and a little always, so that it is written
      // some time.
      int spare = (int) Math.max(writes.size() + mostWrites / LATER_PART, pace.left());
      filling.from(lanes.get(Lane.LATER), Math.min(mostWrites, spare));
    }
    return new Batch(
        changes, conditions, StoreCodec.commit(conditions, writes), writes.size(), serial);
  }

  /** A transaction being filled. */
  private static final class Filling {
    private final List<Change> changes;
    private final List<Condition> conditions;
    private final List<Write> writes;
    private int bytes = HEAD_BYTES;

    Filling(List<Change> changes, List<Condition> conditions, List<Write> writes) {
      this.changes = changes;
      this.conditions = conditions;
      this.writes = writes;
    }

    /** Takes changes while they fit; false if some were left. Even a large one goes alone. */
    boolean from(Map<String, Change> queue, int mostWrites) {
      for (var iterator = queue.values().iterator(); iterator.hasNext(); ) {
        Change change = iterator.next();
        List<Write> more = change.writes();
        int size = 0;
        for (Write write : more) {
          size += write.key().length() + 64 + (write.value() == null ? 0 : write.value().length);
        }
        if (!changes.isEmpty()
            && (writes.size() + more.size() > mostWrites || bytes + size > MOST_BYTES)) {
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
              if (maybeApplied && reply.failed().contains(Keys.HELM)) {
                lookBack(batch);
              } else {
                conflict(batch, new HashSet<>(reply.failed()));
              }
            }
            case REFUSED -> again(() -> send(batch, maybeApplied));
            // Silence may mean that it was applied, or will be: the same transaction is sent again,
            // and at most one of the copies can find the term key at the expected version.
            case UNKNOWN -> again(() -> send(batch, true));
            default -> lost("the store rejects transactions");
          }
        });
  }

  private void again(Runnable retry) {
    scheduler.after(
        RETRY_MICROS,
        () -> {
          if (!closed) {
            retry.run();
          }
        });
  }

  private void applied(Batch batch, long version) {
    helmVersion = version;
    inFlight = false;
    for (Change change : batch.changes()) {
      change.committed();
    }
    flushSoon();
  }

  /** After a silence: did an earlier copy get through? */
  private void lookBack(Batch batch) {
    store.getUrgent(
        Keys.HELM,
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
                lost("another leader has taken over");
              }
            } catch (MalformedMessage e) {
              lost("the term key is unreadable");
            }
          } else if (reply.is(Outcome.GONE)) {
            lost("the term key is gone");
          } else {
            again(() -> lookBack(batch));
          }
        });
  }

  private void conflict(Batch batch, Set<String> failed) {
    if (failed.contains(Keys.HELM)) {
      lost("another leader has taken over");
      return;
    }
    inFlight = false;
    for (Change change : batch.changes()) {
      if (change.conditions().stream().anyMatch(c -> failed.contains(c.key()))) {
        change.rejected();
      } else {
        add(change, Lane.FIRST);
      }
    }
    flushSoon();
  }

  private void lost(String why) {
    if (!closed) {
      LOG.info("term {}: {}", term, why);
      close();
      onLost.run();
    }
  }
}
