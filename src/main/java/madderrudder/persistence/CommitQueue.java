package madderrudder.persistence;

import java.util.Set;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Queues a leader's changes and commits them to the store, one compare-and-swap transaction at a
 * time, fenced by the term key (see {@link FencedCommitter}). When no further change can be
 * committed in this term, usually because another leader has taken over, the queue closes and calls
 * {@code onLeadershipLost}.
 *
 * <p>Transactions are spaced in time to limit the share of the leader's write rate that is spent on
 * rewriting the term key. Changes queued between two transactions are batched into the next one.
 *
 * <p>Not thread-safe: every method must be called on the event-loop thread of the {@link
 * Scheduler}, where the callbacks of the store client run too.
 */
public final class CommitQueue {
  private static final Logger LOG = LoggerFactory.getLogger(CommitQueue.class);

  /** The delay after which a {@link Urgency#DEFERRED} change triggers a transaction. */
  private static final long DEFERRED_FLUSH_DELAY_MICROS = 4_000_000;

  /**
   * Every transaction rewrites the term key. The spacing of transactions limits these rewrites to
   * one in this many writes at the leader's write rate.
   */
  private static final double WRITES_PER_TERM_KEY_WRITE = 5;

  /**
   * The factor by which the spacing of transactions grows while fewer write tokens are left than
   * are added in half a second, so that fewer of them are spent on the term key.
   */
  private static final int LOW_TOKENS_SPACING_FACTOR = 2;

  /**
   * A transaction with room for all more urgent changes may contain {@link Urgency#DEFERRED}
   * changes with up to the maximum number of writes divided by this, even if no write tokens are
   * left for them, so that they are written eventually.
   */
  private static final int DEFERRED_MIN_WRITES_DIVISOR = 8;

  /** The weight of the newest interval in the smoothed rate of the leader's own writes. */
  private static final double SMOOTHING_WEIGHT = 0.3;

  /** The write rate reserved for the leader, as a multiple of its smoothed rate. */
  private static final double LEADER_RESERVE_FACTOR = 1.3;

  /** The share of the write rate that is divided between the leader and user requests. */
  private static final double ALLOCATABLE_SHARE = 0.9;

  private final Scheduler scheduler;
  private final long term;
  private final int maxWrites;
  private final long spacingMicros;
  private final double lowTokens;
  private final RateLimiter writeLimiter;
  private final double writesPerSecond;
  private final Runnable onLeadershipLost;
  private final UrgencyQueues queues = new UrgencyQueues();
  private final FencedCommitter committer;
  private double smoothedWritesPerSecond;
  private long nextFlushMicros;
  private boolean inFlight;
  private boolean flushScheduled;
  private boolean deferredFlushScheduled;
  private boolean closed;

  /**
   * The order in which changes are written when there are more than fit into one transaction. A
   * change queued at two urgencies keeps the more urgent one.
   */
  public enum Urgency {
    /** Blocks another operation, such as the start of a task or a rental. */
    IMMEDIATE,
    /** Written in the next transaction that has room. */
    NORMAL,
    /**
     * Needed only after a failover: written while there are few other changes, or after some
     * seconds.
     */
    DEFERRED
  }

  /**
   * Creates the queue of one leader's term.
   *
   * @param scheduler the event loop; its clock is in microseconds
   * @param store the client that sends the transactions
   * @param member this node's name, written into the term key
   * @param term the leader's term
   * @param termKeyVersion the version of the term key that this leader wrote when it took over
   * @param maxWrites the maximum number of writes in one transaction
   * @param writesPerSecond the leader's write rate
   * @param onLeadershipLost called once, on the event loop, when another leader has taken over, the
   *     term key does not exist or is unreadable, or the store rejects a transaction as invalid
   */
  public CommitQueue(
      Scheduler scheduler,
      StoreClient store,
      String member,
      long term,
      long termKeyVersion,
      int maxWrites,
      double writesPerSecond,
      Runnable onLeadershipLost) {
    this.scheduler = scheduler;
    this.term = term;
    this.maxWrites = maxWrites;
    spacingMicros = (long) (WRITES_PER_TERM_KEY_WRITE * 1e6 / writesPerSecond);
    lowTokens = writesPerSecond / 2;
    this.writesPerSecond = writesPerSecond;
    writeLimiter = new RateLimiter(scheduler, writesPerSecond, writesPerSecond);
    this.onLeadershipLost = onLeadershipLost;
    committer =
        new FencedCommitter(scheduler, store, member, term, termKeyVersion, new OutcomeHandler());
  }

  /**
   * Closes the queue: drops the pending changes, sends no further requests and ignores replies that
   * arrive afterwards.
   */
  public void close() {
    closed = true;
    committer.close();
    queues.clear();
  }

  /**
   * Queues a change, to be batched with others into a transaction. A change that is queued again
   * before it is written keeps its more urgent position.
   */
  public void add(PendingChange change, Urgency urgency) {
    if (!queues.add(change, urgency)) {
      return;
    }
    if (urgency != Urgency.DEFERRED) {
      scheduleFlush();
    } else if (!deferredFlushScheduled) {
      deferredFlushScheduled = true;
      scheduler.runAfter(
          DEFERRED_FLUSH_DELAY_MICROS,
          () -> {
            deferredFlushScheduled = false;
            scheduleFlush();
          });
    }
  }

  /** Returns the number of changes pending in the queue, at all urgencies together. */
  public int backlog() {
    return queues.size();
  }

  /**
   * Estimates the part of the leader's write rate that it will leave unused, in writes per second,
   * from its writes since the previous call. Returns 0 while more changes are pending than one
   * transaction can hold.
   *
   * @param sinceMicros the time since the previous call
   */
  public double spareWritesPerSecond(long sinceMicros) {
    double measuredWritesPerSecond =
        writeLimiter.takeSpentTokens() * 1e6 / Math.max(1, sinceMicros);
    smoothedWritesPerSecond +=
        SMOOTHING_WEIGHT * (measuredWritesPerSecond - smoothedWritesPerSecond);
    if (backlog() > maxWrites) {
      return 0;
    }
    return Math.max(
        0, ALLOCATABLE_SHARE * writesPerSecond - LEADER_RESERVE_FACTOR * smoothedWritesPerSecond);
  }

  private boolean nothingToFlush() {
    return queues.isEmpty(Urgency.IMMEDIATE)
        && queues.isEmpty(Urgency.NORMAL)
        && (deferredFlushScheduled || queues.isEmpty(Urgency.DEFERRED));
  }

  private void scheduleFlush() {
    if (flushScheduled || inFlight || closed || nothingToFlush()) {
      return;
    }
    flushScheduled = true;
    scheduler.runAfter(
        Math.max(0, nextFlushMicros - scheduler.nowMicros()),
        () -> {
          flushScheduled = false;
          flush();
        });
  }

  private void flush() {
    if (closed || inFlight || nothingToFlush()) {
      return;
    }
    Transaction transaction = buildTransaction();
    inFlight = true;
    nextFlushMicros = scheduler.nowMicros() + currentSpacingMicros();
    writeLimiter.run(transaction.writes(), () -> committer.commit(transaction));
  }

  private long currentSpacingMicros() {
    boolean tokensLow = writeLimiter.availableTokens() < lowTokens;
    return tokensLow ? LOW_TOKENS_SPACING_FACTOR * spacingMicros : spacingMicros;
  }

  private Transaction buildTransaction() {
    TransactionBuilder builder = committer.begin();
    if (builder.takeFrom(queues.get(Urgency.IMMEDIATE), maxWrites)
        && builder.takeFrom(queues.get(Urgency.NORMAL), maxWrites)) {
      // DEFERRED changes use the remaining write tokens, or a minimum share of the transaction if
      // that is more, so that they are written eventually.
      int deferredLimit =
          (int)
              Math.max(
                  builder.writes() + maxWrites / DEFERRED_MIN_WRITES_DIVISOR,
                  writeLimiter.availableTokens());
      builder.takeFrom(queues.get(Urgency.DEFERRED), Math.min(maxWrites, deferredLimit));
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

    /** Rejects changes whose own condition failed and queues the others again. */
    @Override
    public void conflicted(Transaction transaction, Set<String> failedKeys) {
      inFlight = false;
      for (PendingChange change : transaction.changes()) {
        if (change.conditions().stream()
            .anyMatch(condition -> failedKeys.contains(condition.key()))) {
          change.rejected();
        } else {
          add(change, Urgency.IMMEDIATE);
        }
      }
      scheduleFlush();
    }

    @Override
    public void leadershipLost(String reason) {
      if (!closed) {
        LOG.info("commit queue of term {} closed: {}", term, reason);
        close();
        onLeadershipLost.run();
      }
    }
  }
}
