package madderrudder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import madderrudder.coordination.policy.Deployment;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a checker that misses violations: each test provokes a violation by wrong settings
 * of the controllers or by a sequence of events, and expects the checker to record it.
 */
@Timeout(60)
class InvariantCheckerTest {
  private static final long SECOND = SimulatedCluster.SECOND;
  private static final OperatorPolicy POLICY = SimPolicies.smallCluster(60, true, false);

  private static Deployment.WorkerTimes workerTimes(long leaseMicros, long cancelMicros) {
    Deployment.WorkerTimes real = SimulatedCluster.defaultWorkerTimes();
    return new Deployment.WorkerTimes(
        real.heartbeatIntervalMicros(),
        leaseMicros,
        real.gangAssemblyTimeoutMicros(),
        real.gangLossDetectionMicros(),
        cancelMicros);
  }

  private static boolean hasViolation(SimulatedCluster cluster, String rule) {
    return violationCount(cluster, rule) > 0;
  }

  private static long violationCount(SimulatedCluster cluster, String rule) {
    return cluster.invariants.violations.stream()
        .filter(violation -> violation.startsWith(rule))
        .count();
  }

  /**
   * Controllers configured with a lease shorter than the actual one restart tasks elsewhere while
   * they still run.
   */
  @Test
  void checkerReportsTasksThatRunTwice() {
    Deployment.WorkerTimes wrongTimes =
        workerTimes(1_000_000, SimulatedCluster.defaultWorkerTimes().cancelDeadlineMicros());
    boolean found = false;
    for (long seed = 1; seed <= 16 && !found; seed++) {
      SimulatedCluster cluster = Scenarios.smallCluster(seed, wrongTimes);
      Scenarios.injectRandomFaults(cluster);
      cluster.runUntil(Scenarios.FAULTS_END_MICROS);
      found = hasViolation(cluster, "ran_twice");
    }
    assertTrue(found, "no task ran twice");
  }

  /**
   * Controllers configured with a cancellation time longer than the actual one let cancelled tasks
   * run too long.
   */
  @Test
  void checkerReportsCancelledTasksThatKeepRunning() {
    Deployment.WorkerTimes wrongTimes =
        workerTimes(SimulatedCluster.defaultWorkerTimes().leaseMicros(), 400 * SECOND);
    SimulatedCluster cluster = Scenarios.smallCluster(3, wrongTimes);
    cluster.runUntil(60 * SECOND);
    // The store refuses the leader, which is also partitioned from the other controllers. Users
    // cancel jobs through the others.
    for (String name : cluster.controllerNames()) {
      if (cluster.isLeader(name)) {
        cluster.store.refuse(name, 200 * SECOND);
        cluster
            .controllerNames()
            .forEach(other -> cluster.network.partition(name, other, false, 200 * SECOND));
      }
    }
    cluster.users.cancelAll();
    cluster.runUntil(200 * SECOND);
    assertTrue(
        hasViolation(cluster, "ran_cancelled"),
        "no cancelled task ran past its deadline: " + cluster.invariants.violations);
  }

  /** Faults of a cluster scheduler that {@link InvariantChecker#checkAtEnd} must find. */
  private enum PlantedFault {
    NONE(null),
    NEVER_STARTED("unserved"),
    NEVER_ANSWERED("forgotten"),
    CLASS_STARVED("unserved"),
    TEAM_STARVED("unserved"),
    LARGEST_STARVED("unserved"),
    LARGEST_STARTED_LATE("unserved");

    /** The rule that the fault violates, or null. */
    private final String rule;

    PlantedFault(String rule) {
      this.rule = rule;
    }
  }

  @ParameterizedTest(name = "{0}")
  @EnumSource
  void endCheckReportsUnservedAndForgottenJobs(PlantedFault fault) {
    SimulatedCluster cluster = new SimulatedCluster(1, POLICY);
    InvariantChecker invariants = cluster.invariants;
    invariants.loggedMachineOf = task -> "m";
    for (int i = 0; i < 40; i++) {
      boolean gang = i % 2 == 0;
      String team = i % 4 < 2 ? "alto" : "basso";
      int tasks = gang && i < 8 ? 3 : 1;
      JobSpec job =
          JobSpecBuilder.job(String.format("req-%06d", i), gang ? "train" : "desk")
              .team(team)
              .kind(gang ? JobKind.GANG : JobKind.SERVICE)
              .priority(Priority.PRODUCTION)
              .tasks(tasks)
              .perTask(0.25, 1)
              .image("img", 1)
              .build();
      invariants.jobSubmitted(job);
      invariants.jobAnswered(job.id(), 201, "pending", true, 0);
      boolean neverStarted =
          (fault == PlantedFault.CLASS_STARVED && gang)
              || (fault == PlantedFault.TEAM_STARVED && team.equals("alto"))
              || (fault == PlantedFault.NEVER_STARTED && i < 30)
              || (fault == PlantedFault.LARGEST_STARVED && tasks > 1);
      if (!neverStarted) {
        cluster.scheduler.after(
            fault == PlantedFault.LARGEST_STARTED_LATE && tasks > 1 ? 250 * SECOND : 0,
            () -> invariants.jobStarted(job.id()));
      }
      boolean answered = fault != PlantedFault.NEVER_ANSWERED || i != 7;
      cluster.scheduler.after(
          300 * SECOND,
          () -> invariants.jobAnswered(job.id(), answered ? 200 : 503, "running", false, 0));
    }
    cluster.scheduler.runUntil(310 * SECOND, () -> {});
    invariants.checkAtEnd();
    if (fault == PlantedFault.NONE) {
      assertEquals(List.of(), invariants.violations);
    } else {
      assertNotEquals(List.of(), invariants.violations, () -> fault + " was not recorded");
      assertTrue(
          hasViolation(cluster, fault.rule), () -> "recorded instead: " + invariants.violations);
    }
  }

  /**
   * After all controllers have crashed, jobs wait although there is capacity, and the checker
   * reports them. It does not report a job that waits because its team is at its limit.
   */
  @ParameterizedTest(name = "capacity {0}")
  @ValueSource(booleans = {false, true})
  void checkerReportsStarvedJobsOnly(boolean capacity) {
    SimulatedCluster cluster = new SimulatedCluster(3, POLICY);
    cluster.runUntil(20 * SECOND);
    double cpus = capacity ? 1 : 11;
    for (int i = 0; i < 2; i++) {
      cluster.users.submitJob(
          JobSpecBuilder.job("req-10000" + i, "sweep")
              .team("alto")
              .priority(Priority.NORMAL)
              .perTask(cpus, 1)
              .image("img", 1)
              .estimateMicros(900_000_000)
              .build());
    }
    cluster.runUntil(60 * SECOND);
    assertEquals(
        capacity ? 2 : 1,
        cluster.invariants.runningTasks(),
        "running tasks under a limit of 20 CPUs");
    if (capacity) {
      cluster.crashAll(1_000 * SECOND);
    }
    cluster.runUntil(90 * SECOND);
    cluster.checkStarvationEverySecond();
    cluster.runUntil(200 * SECOND);
    assertEquals(capacity ? 2 : 0, violationCount(cluster, "left_waiting"), "starved jobs");
  }

  @Test
  void checkerReportsAcceptedInvalidRequestsOnly() {
    SimulatedCluster cluster = new SimulatedCluster(3, POLICY);
    cluster.invariants.invalidRequestAnswered("a job without a field", 503);
    assertEquals(0, violationCount(cluster, "accepted_wrong"));
    cluster.invariants.invalidRequestAnswered("a job without a field", 201);
    assertEquals(1, violationCount(cluster, "accepted_wrong"));
  }
}
