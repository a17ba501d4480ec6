package madderrudder.coordination.registry;

import madderrudder.coordination.membership.DelegationTracker;
import madderrudder.coordination.membership.LeaderElection;
import madderrudder.coordination.policy.Deployment;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.EstimatedRunTimes;
import madderrudder.metrics.Metrics;
import madderrudder.metrics.RunHistory;
import madderrudder.persistence.CommitQueue;
import madderrudder.persistence.StoreClient;
import madderrudder.transport.HttpCaller;
import madderrudder.transport.Scheduler;

/**
 * The context that all parts of a leader share during one term. The fields are public and final
 * instead of having an accessor each, because every part of the leader reads them. Confined to the
 * event loop thread.
 */
public final class LeaderTerm {
  /**
   * The leader's share of the store's write rate; the controllers divide the rest among users'
   * requests.
   */
  private static final double LEADER_WRITE_RATE_SHARE = 0.75;

  /**
   * Clock and timers of the event loop. Its timers also run after the end of the term; those of
   * {@link #runAfter} and {@link #runEvery} do not.
   */
  public final Scheduler scheduler;

  /** Client of the key-value store; its callbacks may run after the end of the term. */
  public final StoreClient store;

  /** HTTP client that sends commands directly to workers. */
  public final HttpCaller httpCaller;

  /** The leader election: tells whether the leader's lease holds, and steps down on request. */
  public final LeaderElection election;

  /** The platform's settings. */
  public final Deployment deployment;

  /** The operators' settings. */
  public final OperatorPolicy policy;

  /** Time bounds that the safety rules depend on, such as the length of a worker's lease. */
  public final SafetyBounds safetyBounds;

  /** The recorder of timings. */
  public final Metrics metrics;

  /** The number of the term; it is higher than that of every earlier leader. */
  public final long number;

  /** The queue that commits the changes of this term to the store. */
  public final CommitQueue commitQueue;

  /** The leader's in-memory view of the cluster. */
  public final Cluster cluster;

  /** Run times learned from finished tasks; null if operators have turned learning off. */
  public final LearnedRunTimes learnedRunTimes;

  /** The task runs of this term, which operators can query. */
  public final RunHistory runHistory;

  /**
   * Tracks which heartbeats other controllers may have answered for this leader, and so when the
   * lease of a silent worker has certainly expired.
   */
  public final DelegationTracker delegation;

  private final TermScopedIds ids;
  private boolean closed;

  /**
   * Creates the context of a term that this controller has won.
   *
   * @param dependencies the controller's collaborators
   * @param number the number of the term
   * @param termVersion the version of the term key as this leader wrote it
   * @param onLeadershipLost called once, on the event loop, when no further change can be committed
   *     in this term, usually because another leader has taken over; see {@link CommitQueue}
   */
  public LeaderTerm(
      LeaderDependencies dependencies, long number, long termVersion, Runnable onLeadershipLost) {
    scheduler = dependencies.scheduler();
    store = dependencies.store();
    httpCaller = dependencies.httpCaller();
    election = dependencies.election();
    deployment = dependencies.deployment();
    policy = dependencies.policy();
    metrics = dependencies.metrics();
    safetyBounds = SafetyBounds.of(deployment.workers());
    this.number = number;
    commitQueue =
        new CommitQueue(
            scheduler,
            store,
            dependencies.member(),
            number,
            termVersion,
            deployment.state().transactionWrites(),
            deployment.state().writesPerSecond() * LEADER_WRITE_RATE_SHARE,
            onLeadershipLost);
    learnedRunTimes = policy.learnedRunTimes() ? new LearnedRunTimes(this) : null;
    runHistory = new RunHistory(number);
    cluster =
        new Cluster(
            deployment, learnedRunTimes == null ? new EstimatedRunTimes() : learnedRunTimes);
    delegation = new DelegationTracker(safetyBounds, scheduler.nowMicros());
    ids = new TermScopedIds(number);
  }

  /** Returns an attempt number that no leader has used before; see {@link TermScopedIds}. */
  public long nextAttempt() {
    return ids.nextAttempt();
  }

  /** Returns a scale-out request id that no leader has used before; see {@link TermScopedIds}. */
  public String nextScaleOutRequestId() {
    return ids.nextScaleOutRequestId();
  }

  /** Ends the term: later changes are not committed, and scheduled actions do not run. */
  public void close() {
    closed = true;
    commitQueue.close();
  }

  /** Whether the term has ended. */
  public boolean isClosed() {
    return closed;
  }

  /** Runs the action repeatedly until the term ends, for the first time after one period. */
  public void runEvery(long periodMicros, Runnable action) {
    runAfter(
        periodMicros,
        () -> {
          action.run();
          runEvery(periodMicros, action);
        });
  }

  /** Runs the action once after the delay, unless the term has ended by then. */
  public void runAfter(long delayMicros, Runnable action) {
    scheduler.runAfter(
        delayMicros,
        () -> {
          if (!closed) {
            action.run();
          }
        });
  }
}
