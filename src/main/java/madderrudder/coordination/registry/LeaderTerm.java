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

/** What the parts of a leader share while its term lasts. */
public final class LeaderTerm {
  private static final int COUNTER_BITS = 24;

  /** Of the store's write rate; the nodes share the rest for what users submit. */
  private static final double LEADER_SHARE = 0.75;

  public final Scheduler scheduler;
  public final StoreClient store;
  public final HttpCaller calls;
  public final LeaderElection election;
  public final Deployment deployment;
  public final OperatorPolicy policy;
  public final SafetyBounds safety;
  public final Metrics metrics;
  public final long term;
  public final CommitQueue commits;
  public final Cluster cluster;

  /** Null where the operators want none. */
  public final LearnedRunTimes learned;

  public final RunHistory history;
  public final DelegationTracker delegation;
  private long attempts;
  private long charters;
  private boolean closed;

  public LeaderTerm(LeaderDependencies dependencies, long term, long termVersion, Runnable onLost) {
    scheduler = dependencies.scheduler();
    store = dependencies.store();
    calls = dependencies.calls();
    election = dependencies.election();
    deployment = dependencies.deployment();
    policy = dependencies.policy();
    metrics = dependencies.metrics();
    safety = SafetyBounds.of(deployment.workers());
    this.term = term;
    commits =
        new CommitQueue(
            scheduler,
            store,
            dependencies.member(),
            term,
            termVersion,
            deployment.state().transactionWrites(),
            deployment.state().writesPerSecond() * LEADER_SHARE,
            onLost);
    learned = policy.learnedRunTimes() ? new LearnedRunTimes(this) : null;
    history = new RunHistory(term);
    cluster = new Cluster(deployment, learned == null ? new EstimatedRunTimes() : learned);
    delegation = new DelegationTracker(safety, scheduler.nowMicros());
  }

  /** Attempt numbers embed the term, so that no other leader ever gives the same one. */
  public long nextAttempt() {
    return (term << COUNTER_BITS) + ++attempts;
  }

  /** Request names embed the term too: the cloud answers a repeated one with the first answer. */
  public String nextScaleOutRequestId() {
    return "t" + term + "-" + ++charters;
  }

  public void close() {
    closed = true;
    commits.close();
  }

  public boolean closed() {
    return closed;
  }

  /** Repeats the action until the term ends. */
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
