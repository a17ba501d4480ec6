package madderrudder.sim;

import java.util.function.Supplier;

/**
 * Situations in which several faults and requests coincide, as operators have seen them or expect
 * them. Each is played alone and together with each other one by {@link FaultCombinationsTest}.
 */
enum FaultCombination {
  /**
   * Copies of heartbeats arrive after newer ones, up to four leases late, at old and new leaders
   * and at other controllers.
   */
  LATE_HEARTBEATS(NetworkFaults.LateHeartbeats::new),
  /** Jobs of two and three tasks, which end far apart, and a failover after each end. */
  FAILOVER_BETWEEN_TASK_ENDS(FailoverFaults.FailoverBetweenTaskEnds::new),
  /** The leader crashes while some machines can't be reached, or receive no answer. */
  FAILOVER_WITH_UNREACHABLE_MACHINES(NetworkFaults.FailoverWithUnreachableMachines::new),
  /**
   * The leader keeps only its workers and users, while jobs are cancelled through its successor.
   */
  ISOLATED_LEADER_DURING_CANCELLATIONS(NetworkFaults.IsolatedLeaderDuringCancellations::new),
  /**
   * Commands and answers are buffered for seconds and then delivered; machines hang for almost a
   * lease.
   */
  DELAYED_COMMANDS(NetworkFaults.DelayedCommands::new),
  /**
   * Leadership moves away and back, all controllers crash, and one is back within a second: several
   * terms within a lease.
   */
  REPEATED_FAILOVERS(FailoverFaults.RepeatedFailovers::new),
  /** Transactions get no reply, and are applied after newer ones of the same controller. */
  DELAYED_COMMITS(StoreFaults.DelayedCommits::new),
  /**
   * Every team is at its limit while jobs are cancelled whose machines are partitioned or hang, and
   * the leader changes.
   */
  CANCELLATIONS_AT_QUOTA(WorkloadFaults.CancellationsAtQuota::new),
  /**
   * Every team is at its limit at a failover, some of its machines can't be asked what they run,
   * and users cancel meanwhile.
   */
  FAILOVER_AT_QUOTA(WorkloadFaults.FailoverAtQuota::new),
  /**
   * Old heartbeats reach every controller just as another one becomes leader, and again after it
   * has acted.
   */
  HEARTBEATS_REPLAYED_TO_NEXT_LEADER(NetworkFaults.HeartbeatsReplayedToNextLeader::new),
  /** Four one-task jobs a second, a quarter of them cancelled; the leader crashes in the middle. */
  JOB_BURST(WorkloadFaults.JobBurst::new),
  /** A cancellation, a poll or a repeated submission meets the end of a job's last task. */
  CANCELLATION_AT_COMPLETION(UserFaults.CancellationAtCompletion::new),
  /**
   * New machines are up within two seconds and get work at once while writes lag and the leader
   * crashes.
   */
  FAST_BOOTS_DURING_FAILOVERS(FailoverFaults.FastBootsDuringFailovers::new),
  /** Workers can't open connections to any controller, while direct commands still reach them. */
  OUTBOUND_BLOCKED_WORKERS(NetworkFaults.OutboundBlockedWorkers::new),
  /**
   * A zone with workers and a controller is partitioned for longer than a lease, with the leader in
   * it or without.
   */
  ZONE_PARTITIONED(NetworkFaults.ZonePartitioned::new),
  /** Jobs are cancelled in the seconds of a failover, up to one every tenth of a second. */
  CANCELLATIONS_DURING_FAILOVERS(FailoverFaults.CancellationsDuringFailovers::new),
  /** More work than capacity, urgent and not, over slow links. */
  OVERLOAD(WorkloadFaults.Overload::new),
  /** Jobs bound to one zone, arrays too, lose machines, and the zone is partitioned for a while. */
  ZONE_BOUND_JOBS(WorkloadFaults.ZoneBoundJobs::new),
  /**
   * Transactions are applied at once and only their reply is lost, while other controllers read
   * what they wrote.
   */
  LOST_REPLIES(StoreFaults.LostReplies::new),
  /**
   * Users ask every controller within milliseconds after each change, submit again and cancel;
   * controllers are slow, partitioned or new.
   */
  IMMEDIATE_POLLING(UserFaults.ImmediatePolling::new),
  /**
   * All controllers are down for longer than a lease, with cancellations just before and right
   * after.
   */
  ALL_CONTROLLERS_DOWN(FailoverFaults.AllControllersDown::new),
  /**
   * The leader changes ten times within a minute, also in a store outage; processes are back within
   * a fraction of a second.
   */
  LEADER_FLAPPING(FailoverFaults.LeaderFlapping::new),
  /**
   * Jobs are cancelled at the moment at which the store refuses the leader alone; a second later it
   * is unavailable for longer than the cancellation time.
   */
  LEADER_REFUSED_DURING_CANCELLATION(StoreFaults.LeaderRefusedDuringCancellation::new),
  /**
   * The store answers slowly, then refuses the leader alone, then everybody, while users cancel and
   * poll.
   */
  SLOW_THEN_UNAVAILABLE_STORE(StoreFaults.SlowThenUnavailableStore::new),
  /** Users submit again, cancel what is done, and send jobs that can't run or lack a field. */
  INVALID_REQUESTS(UserFaults.InvalidRequests::new),
  /**
   * Running jobs are cancelled within a fifth of a second, and their machines hang, some beyond
   * their leases.
   */
  CANCELLATION_ON_HUNG_MACHINES(UserFaults.CancellationOnHungMachines::new);

  private final Supplier<FaultScript> scriptFactory;

  FaultCombination(Supplier<FaultScript> scriptFactory) {
    this.scriptFactory = scriptFactory;
  }

  /** A new script, for one run. */
  FaultScript newScript() {
    return scriptFactory.get();
  }
}
