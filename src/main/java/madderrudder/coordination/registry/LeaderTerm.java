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
 * The context that the parts of a leader share while its term lasts. Its fields are public and
 * final, in place of an accessor each, because every part of the leader reads them. Confined to the
 * event loop thread.
 */
public final class LeaderTerm {
  /** The leader's share of the store's write rate; the nodes divide the rest among users. */
  private static final double LEADER_SHARE = 0.75;

  /** Clock and timers of the event loop; {@link #after} stops at the end of the term. */
  public final Scheduler scheduler;

  /** Client of the key-value store; its callbacks may arrive after the end of the term. */
  public final StoreClient store;

  /** Sends commands directly to workers. */
  public final HttpCaller calls;

  /** Tells whether the leader's lease still holds, and steps down. */
  public final LeaderElection election;

  /** The platform's settings. */
  public final Deployment deployment;

  /** The operators' settings. */
  public final OperatorPolicy policy;

  /** The bounds in time that the safety rules rest on. */
  public final SafetyBounds safety;

  /** Where timings are recorded. */
  public final Metrics metrics;

  /** The number of the term; a later leader has a higher one. */
  public final long number;

  /** The queue through which this term's changes are committed. */
  public final CommitQueue commits;

  /** The state of the cluster as this leader knows it. */
  public final Cluster cluster;

  /** Run times learned from finished tasks; null where the operators have turned that off. */
  public final LearnedRunTimes learned;

  /** The runs of this term, for operators. */
  public final RunHistory history;

  /** Tells for how long workers may act on what other controllers answered for this leader. */
  public final DelegationTracker delegation;

  private final TermScopedIds ids;
  private boolean closed;

  /**
   * Creates the context of a term that was won.
   *
   * @param dependencies the controller's collaborators
   * @param number the number of the term
   * @param termVersion the version of the term key that this leader wrote
   * @param onLost called when another leader has taken over; see {@link CommitQueue}
   */
  public LeaderTerm(
      LeaderDependencies dependencies, long number, long termVersion, Runnable onLost) {
    scheduler = dependencies.scheduler();
    store = dependencies.store();
    calls = dependencies.calls();
    election = dependencies.election();
    deployment = dependencies.deployment();
    policy = dependencies.policy();
    metrics = dependencies.metrics();
    safety = SafetyBounds.of(deployment.workers());
    this.number = number;
    commits =
        new CommitQueue(
            scheduler,
            store,
            dependencies.member(),
            number,
            termVersion,
            deployment.state().transactionWrites(),
            deployment.state().writesPerSecond() * LEADER_SHARE,
            onLost);
    learned = policy.learnedRunTimes() ? new LearnedRunTimes(this) : null;
    history = new RunHistory(number);
    cluster = new Cluster(deployment, learned == null ? new EstimatedRunTimes() : learned);
    delegation = new DelegationTracker(safety, scheduler.nowMicros());
    ids = new TermScopedIds(number);
  }

  /** Returns an attempt number that no leader has given before; see {@link TermScopedIds}. */
  public long nextAttempt() {
    return ids.nextAttempt();
  }

  /** Returns a scale-out request id that no leader has used before; see {@link TermScopedIds}. */
  public String nextScaleOutRequestId() {
    return ids.nextScaleOutRequestId();
  }

  /** Ends the term: nothing is committed any more, and pending actions do not run. */
  public void close() {
    closed = true;
    commits.close();
  }

  /** Whether the term has ended. */
  public boolean closed() {
    return closed;
  }

  /** Repeats the action until the term ends, first after one period. */
  public void every(long periodMicros, Runnable action) {
    after(
        periodMicros,
        () -> {
          action.run();
          every(periodMicros, action);
        });
  }

  /** Runs the action later, unless the term has ended by then. */
  public void after(long delayMicros, Runnable action) {
    scheduler.after(
        delayMicros,
        () -> {
          if (!closed) {
            action.run();
          }
        });
  }
}
