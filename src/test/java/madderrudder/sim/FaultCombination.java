package madderrudder.sim;

import java.util.function.Supplier;

/**
 * Situations in which several faults and requests coincide, such as occur in operation. {@link
 * FaultCombinationsTest} runs each alone and together with each other one.
 */
enum FaultCombination {
  /**
   * Copies of heartbeats arrive up to four leases late, after newer ones, at any controller, leader
   * or not.
   */
  LATE_HEARTBEATS(NetworkFaults.LateHeartbeats::new),
  /** Jobs of two or three tasks that end far apart, with a failover after each end. */
  FAILOVER_BETWEEN_TASK_ENDS(FailoverFaults.FailoverBetweenTaskEnds::new),
  /** The leader crashes while some machines are partitioned or receive no messages. */
  FAILOVER_WITH_UNREACHABLE_MACHINES(NetworkFaults.FailoverWithUnreachableMachines::new),
  /**
   * The leader is partitioned from the store and the other controllers, but not from workers and
   * users, while jobs are cancelled through its successor.
   */
  ISOLATED_LEADER_DURING_CANCELLATIONS(NetworkFaults.IsolatedLeaderDuringCancellations::new),
  /**
   * Commands and replies are buffered for seconds and then delivered; machines hang for almost a
   * lease.
   */
  DELAYED_COMMANDS(NetworkFaults.DelayedCommands::new),
  /**
   * Leadership changes repeatedly, then all controllers crash and one restarts within a second:
   * several terms within one lease.
   */
  REPEATED_FAILOVERS(FailoverFaults.RepeatedFailovers::new),
  /** Transactions get no reply, and are applied after newer transactions of the same controller. */
  DELAYED_COMMITS(StoreFaults.DelayedCommits::new),
  /**
   * Every team is at its limit while jobs on partitioned or hung machines are cancelled and the
   * leader crashes.
   */
  CANCELLATIONS_AT_QUOTA(WorkloadFaults.CancellationsAtQuota::new),
  /**
   * The leader crashes while every team is at its limit and some machines are unreachable; users
   * cancel jobs during the failover.
   */
  FAILOVER_AT_QUOTA(WorkloadFaults.FailoverAtQuota::new),
  /**
   * Old heartbeats reach every controller right after a leader change, and again after the new
   * leader has acted.
   */
  HEARTBEATS_REPLAYED_TO_NEXT_LEADER(NetworkFaults.HeartbeatsReplayedToNextLeader::new),
  /** Four one-task jobs per second, a quarter of them cancelled; the leader crashes in between. */
  JOB_BURST(WorkloadFaults.JobBurst::new),
  /** Cancellations, polls and resubmissions of a job arrive around the end of its last task. */
  CANCELLATION_AT_COMPLETION(UserFaults.CancellationAtCompletion::new),
  /**
   * New machines boot within two seconds and are given tasks immediately, while writes are delayed
   * and the leader crashes.
   */
  FAST_BOOTS_DURING_FAILOVERS(FailoverFaults.FastBootsDuringFailovers::new),
  /**
   * Workers can't open connections to any controller, but still receive commands that a controller
   * sends them.
   */
  OUTBOUND_BLOCKED_WORKERS(NetworkFaults.OutboundBlockedWorkers::new),
  /**
   * A zone with workers and a controller is partitioned for longer than a lease; the leader may be
   * inside or outside.
   */
  ZONE_PARTITIONED(NetworkFaults.ZonePartitioned::new),
  /** Jobs are cancelled during failovers, up to one every 100 ms. */
  CANCELLATIONS_DURING_FAILOVERS(FailoverFaults.CancellationsDuringFailovers::new),
  /** More work than capacity, of high and low priority, over slow links. */
  OVERLOAD(WorkloadFaults.Overload::new),
  /** Gangs and arrays bound to one zone lose machines, and the zone is partitioned for a time. */
  ZONE_BOUND_JOBS(WorkloadFaults.ZoneBoundJobs::new),
  /**
   * Transactions are applied immediately but their replies are lost, while other controllers read
   * the values written.
   */
  LOST_REPLIES(StoreFaults.LostReplies::new),
  /**
   * Users poll every controller within milliseconds after each change of a job, resubmit and
   * cancel, while controllers are paused, partitioned or restarting.
   */
  IMMEDIATE_POLLING(UserFaults.ImmediatePolling::new),
  /**
   * All controllers are down for longer than a lease, with cancellations immediately before and
   * after.
   */
  ALL_CONTROLLERS_DOWN(FailoverFaults.AllControllersDown::new),
  /**
   * The leader changes about ten times within a minute, also during a store outage; crashed
   * processes restart within a second.
   */
  LEADER_FLAPPING(FailoverFaults.LeaderFlapping::new),
  /**
   * Jobs are cancelled while the store refuses the leader alone; one to two seconds later the store
   * becomes unavailable for longer than the cancellation time.
   */
  LEADER_REFUSED_DURING_CANCELLATION(StoreFaults.LeaderRefusedDuringCancellation::new),
  /**
   * The store answers slowly, then refuses the leader alone, then becomes unavailable to all, while
   * users cancel and poll jobs.
   */
  SLOW_THEN_UNAVAILABLE_STORE(StoreFaults.SlowThenUnavailableStore::new),
  /**
   * Users resubmit live jobs, cancel ended ones, and submit jobs that can't run or have a missing
   * or invalid field.
   */
  INVALID_REQUESTS(UserFaults.InvalidRequests::new),
  /**
   * Running jobs are cancelled within 200 ms and their machines hang, some for longer than their
   * leases.
   */
  CANCELLATION_ON_HUNG_MACHINES(UserFaults.CancellationOnHungMachines::new);

  private final Supplier<FaultScript> scriptFactory;

  FaultCombination(Supplier<FaultScript> scriptFactory) {
    this.scriptFactory = scriptFactory;
  }

  /** Creates a script for one run. */
  FaultScript newScript() {
    return scriptFactory.get();
  }
}
