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
 * The checker must find what it is there for: each test plants a fault in the scheduler's settings
 * or in the order of events and expects the violation.
 */
@Timeout(60)
class InvariantCheckerTest {
  private static final long SECOND = SimulatedCluster.SECOND;
  private static final OperatorPolicy POLICY = SimPolicies.smallCluster(60, true, false);

  private static Deployment.WorkerTimes workerTimes(long leaseMicros, long cancelMicros) {
    Deployment.WorkerTimes real = SimulatedCluster.defaultWorkerTimes();
    return new Deployment.WorkerTimes(
        real.reportMicros(),
        leaseMicros,
        real.gangWaitMicros(),
        real.gangPeerMicros(),
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

  /** Controllers that take leases to be shorter than they are start tasks again too early. */
  @Test
  void checkerReportsTasksThatRunTwice() {
    Deployment.WorkerTimes wrongTimes =
        workerTimes(1_000_000, SimulatedCluster.defaultWorkerTimes().cancelMicros());
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
   * Controllers that take the cancellation time to be longer than it is keep tasks alive for too
   * long.
   */
  @Test
  void checkerReportsCancelledTasksThatKeepRunning() {
    Deployment.WorkerTimes wrongTimes =
        workerTimes(SimulatedCluster.defaultWorkerTimes().leaseMicros(), 400 * SECOND);
    SimulatedCluster cluster = Scenarios.smallCluster(3, wrongTimes);
    cluster.runUntil(60 * SECOND);
    // The leader alone is refused by the store and can't be heard by its peers; users cancel
    // elsewhere.
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
        "no cancelled task ran on: " + cluster.invariants.violations);
  }

  /** The faults of a scheduler that are planted for {@link InvariantChecker#checkAtEnd} to find. */
  private enum PlantedFault {
    NONE(null),
    NEVER_STARTED("unserved"),
    NEVER_ANSWERED("forgotten"),
    CLASS_STARVED("unserved"),
    TEAM_STARVED("unserved"),
    LARGEST_STARVED("unserved"),
    LARGEST_STARTED_LATE("unserved");

    /** The rule that it violates. */
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
      assertNotEquals(List.of(), invariants.violations, () -> fault + " was not found");
      assertTrue(hasViolation(cluster, fault.rule), () -> "only " + invariants.violations);
    }
  }

  /**
   * Once nothing is placed any more, jobs wait though there is capacity, and are found; a job that
   * waits at its team's limit is not.
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
    assertEquals(capacity ? 2 : 1, cluster.invariants.runningTasks(), "the limit is 20 processors");
    if (capacity) {
      cluster.crashAll(1_000 * SECOND);
    }
    cluster.runUntil(90 * SECOND);
    cluster.checkStarvationEverySecond();
    cluster.runUntil(200 * SECOND);
    assertEquals(capacity ? 2 : 0, violationCount(cluster, "left_waiting"), "jobs found waiting");
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
