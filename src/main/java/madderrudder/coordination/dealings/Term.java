package madderrudder.coordination.dealings;

import madderrudder.coordination.membership.Deputies;
import madderrudder.coordination.membership.Election;
import madderrudder.coordination.policy.Deployment;
import madderrudder.coordination.policy.Policy;
import madderrudder.coordination.policy.Safety;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.EstimatedRunTimes;
import madderrudder.metrics.Metrics;
import madderrudder.metrics.RunHistory;
import madderrudder.persistence.CommitQueue;
import madderrudder.persistence.StoreClient;
import madderrudder.transport.HttpCalls;
import madderrudder.transport.Scheduler;

/** What the parts of a leader share while its term lasts. */
final class Term {
  private static final int COUNTER_BITS = 24;

  /** Of the store's write rate; the nodes share the rest for what users submit. */
  private static final double LEADER_SHARE = 0.75;

  final Scheduler scheduler;
  final StoreClient store;
  final HttpCalls calls;
  final Election election;
  final Deployment deployment;
  final Policy policy;
  final Safety safety;
  final Metrics metrics;
  final long number;
  final CommitQueue journal;
  final Cluster cluster;

  /** Null where the operators want none. */
  final LearnedRunTimes learned;

  final RunHistory history;
  final Deputies deputies;
  private long attempts;
  private long charters;
  private boolean closed;

  Term(Leader.Surroundings around, long number, long helmVersion, Runnable onLost) {
    scheduler = around.scheduler();
    store = around.store();
    calls = around.calls();
    election = around.election();
    deployment = around.deployment();
    policy = around.policy();
    metrics = around.metrics();
    safety = Safety.of(deployment.workers());
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
    deputies = new Deputies(safety, scheduler.nowMicros());
  }

  /** Attempt numbers embed the term, so that no other leader ever gives the same one. */
  long nextAttempt() {
    return (number << COUNTER_BITS) + ++attempts;
  }

  /** Request names embed the term too: the cloud answers a repeated one with the first answer. */
  String nextCharter() {
    return "t" + number + "-" + ++charters;
  }

  void close() {
    closed = true;
    journal.close();
  }

  boolean closed() {
    return closed;
  }

  /** Repeats the action until the term ends. */
  void every(long periodMicros, Runnable action) {
    after(
        periodMicros,
        () -> {
          action.run();
          every(periodMicros, action);
        });
  }

  /** Runs the action later, unless the term has ended by then. */
  void after(long delayMicros, Runnable action) {
    scheduler.after(
        delayMicros,
        () -> {
          if (!closed) {
            action.run();
          }
        });
  }
}
