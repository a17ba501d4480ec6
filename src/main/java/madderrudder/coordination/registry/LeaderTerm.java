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
  public final long number;
  public final CommitQueue journal;
  public final Cluster cluster;

  /** Null where the operators want none. */
  public final LearnedRunTimes learned;

  public final RunHistory history;
  public final DelegationTracker deputies;
  private long attempts;
  private long charters;
  private boolean closed;

  public LeaderTerm(LeaderDependencies around, long number, long helmVersion, Runnable onLost) {
    scheduler = around.scheduler();
    store = around.store();
    calls = around.calls();
    election = around.election();
    deployment = around.deployment();
    policy = around.policy();
    metrics = around.metrics();
    safety = SafetyBounds.of(deployment.workers());
    this.number = number;
    journal =
        new CommitQueue(
            scheduler,
            store,
            around.member(),
            number,
            helmVersion,
            deployment.state().transactionWrites(),
            deployment.state().writesPerSecond() * LEADER_SHARE,
            onLost);
    learned = policy.learned() ? new LearnedRunTimes(this) : null;
    history = new RunHistory(number);
    cluster = new Cluster(deployment, learned == null ? new EstimatedRunTimes() : learned);
    deputies = new DelegationTracker(safety, scheduler.nowMicros());
  }

  /** Attempt numbers embed the term, so that no other leader ever gives the same one. */
  public long nextAttempt() {
    return (number << COUNTER_BITS) + ++attempts;
  }

  /** Request names embed the term too: the cloud answers a repeated one with the first answer. */
  public String nextCharter() {
    return "t" + number + "-" + ++charters;
  }

  public void close() {
    closed = true;
    journal.close();
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
