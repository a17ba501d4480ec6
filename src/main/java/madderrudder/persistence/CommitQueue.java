package madderrudder.persistence;

import java.util.Set;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Queues a leader's changes and commits them to the store, one compare-and-swap transaction at a
 * time, fenced by the term key (see {@link FencedCommitter}). When another leader has taken over,
 * the queue closes and calls {@code onLost}.
 *
 * <p>Transactions keep a distance in time, so that rewriting the term key takes only a part of the
 * leader's write rate; changes queued meanwhile share the next transaction.
 *
 * <p>Not thread-safe: every method must be called on the event-loop thread of the {@link
 * Scheduler}, where the store's answers arrive too.
 */
public final class CommitQueue {
  private static final Logger LOG = LoggerFactory.getLogger(CommitQueue.class);
  private static final long LATER_DELAY_MICROS = 4_000_000;

  /**
   * One write in this many may rewrite the term key, and fewer while the rate is nearly used up.
   */
  private static final double TERM_KEY_WRITE_SHARE = 5;

  private static final int SCARCE_SPACING_FACTOR = 2;
  private static final int LATER_SHARE_DIVISOR = 8;

  /** The weight of the newest interval in the smoothed rate of the leader's own writes. */
  private static final double RECENT_WEIGHT = 0.3;

  /** What the leader keeps for itself, as a multiple of its smoothed rate. */
  private static final double KEPT_FACTOR = 1.3;

  /** The share of the write rate that the leader divides between itself and users. */
  private static final double LENT_SHARE = 0.9;

  private final Scheduler scheduler;
  private final long term;
  private final int maxWrites;
  private final long spacingMicros;
  private final double scarceWrites;
  private final RateLimiter writeLimiter;
  private final double writesPerSecond;
  private final Runnable onLost;
  private final UrgencyQueues queues = new UrgencyQueues();
  private final FencedCommitter committer;
  private double recentPerSecond;
  private long nextMicros;
  private boolean inFlight;
  private boolean scheduled;
  private boolean laterScheduled;
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
     * Nothing but a failover depends on it: written when there is little else, or after some
     * seconds.
     */
    LATER
  }

  /**
   * Creates the queue of one leader's term.
   *
   * @param scheduler the event loop; its clock is in microseconds
   * @param store the store client the transactions go through
   * @param member this node's name, written into the term key
   * @param term the leader's term
   * @param termKeyVersion the version of the term key that this leader wrote when it took over
   * @param maxWrites the most writes in one transaction
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
      int maxWrites,
      double writesPerSecond,
      Runnable onLost) {
    this.scheduler = scheduler;
    this.term = term;
    this.maxWrites = maxWrites;
    spacingMicros = (long) (TERM_KEY_WRITE_SHARE * 1e6 / writesPerSecond);
    scarceWrites = writesPerSecond / 2;
    this.writesPerSecond = writesPerSecond;
    writeLimiter = new RateLimiter(scheduler, writesPerSecond, writesPerSecond);
    this.onLost = onLost;
    committer =
        new FencedCommitter(scheduler, store, member, term, termKeyVersion, new OutcomeHandler());
  }

  /**
   * Ends the queue: what waits is dropped, nothing is sent any more, and an answer that still
   * arrives is ignored.
   */
  public void close() {
    closed = true;
    committer.close();
    queues.clear();
  }

  /**
   * Queues a change, to be written together with others. Queued a second time before it is written,
   * it keeps the more urgent place.
   */
  public void add(PendingChange change, Urgency urgency) {
    if (!queues.add(change, urgency)) {
      return;
    }
    if (urgency != Urgency.LATER) {
      scheduleFlush();
    } else if (!laterScheduled) {
      laterScheduled = true;
      scheduler.after(
          LATER_DELAY_MICROS,
          () -> {
            laterScheduled = false;
            scheduleFlush();
          });
    }
  }

  /** How many changes wait to be written, at all urgencies together. */
  public int backlog() {
    return queues.size();
  }

  /**
   * Estimates how many writes a second the leader will leave unused of its rate, from what it wrote
   * since the last call; 0 while more changes wait than one transaction takes.
   *
   * @param sinceMicros the time since the last call
   */
  public double spareWritesPerSecond(long sinceMicros) {
    double perSecond = writeLimiter.takeSpent() * 1e6 / Math.max(1, sinceMicros);
    recentPerSecond += RECENT_WEIGHT * (perSecond - recentPerSecond);
    if (backlog() > maxWrites) {
      return 0;
    }
    return Math.max(0, LENT_SHARE * writesPerSecond - KEPT_FACTOR * recentPerSecond);
  }

  private boolean nothingDue() {
    return queues.isEmpty(Urgency.FIRST)
        && queues.isEmpty(Urgency.SOON)
        && (laterScheduled || queues.isEmpty(Urgency.LATER));
  }

  private void scheduleFlush() {
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

  private void flush() {
    if (closed || inFlight || nothingDue()) {
      return;
    }
    Transaction transaction = assemble();
    inFlight = true;
    nextMicros = scheduler.nowMicros() + currentSpacingMicros();
    writeLimiter.run(transaction.writes(), () -> committer.commit(transaction));
  }

  private long currentSpacingMicros() {
    boolean scarce = writeLimiter.left() < scarceWrites;
    return scarce ? SCARCE_SPACING_FACTOR * spacingMicros : spacingMicros;
  }

  private Transaction assemble() {
    TransactionBuilder builder = committer.begin();
    if (builder.takeFrom(queues.get(Urgency.FIRST), maxWrites)
        && builder.takeFrom(queues.get(Urgency.SOON), maxWrites)) {
      // What can wait gets what the rate leaves over, and always a little, so that it is written at
      // some time.
      int spare =
          (int) Math.max(builder.writes() + maxWrites / LATER_SHARE_DIVISOR, writeLimiter.left());
      builder.takeFrom(queues.get(Urgency.LATER), Math.min(maxWrites, spare));
    }
    return builder.build();
  }

  private final class OutcomeHandler implements FencedCommitter.Listener {
    @Override
    public void committed(Transaction transaction) {
      inFlight = false;
      transaction.changes().forEach(PendingChange::committed);
      scheduleFlush();
    }

    /** Changes whose own condition failed are dropped; the others are queued again. */
    @Override
    public void conflicted(Transaction transaction, Set<String> failedKeys) {
      inFlight = false;
      for (PendingChange change : transaction.changes()) {
        if (change.conditions().stream().anyMatch(c -> failedKeys.contains(c.key()))) {
          change.rejected();
        } else {
          add(change, Urgency.FIRST);
        }
      }
      scheduleFlush();
    }

    @Override
    public void lost(String reason) {
      if (!closed) {
        LOG.info("term {}: {}", term, reason);
        close();
        onLost.run();
      }
    }
  }
}
