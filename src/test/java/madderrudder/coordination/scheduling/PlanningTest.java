package madderrudder.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import madderrudder.coordination.policy.Deployment;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.coordination.policy.ServiceLevelObjectives;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.CapacityPool;
import madderrudder.coordination.state.CapacityPoolLimits;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.EstimatedRunTimes;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.coordination.state.OrphanTask;
import madderrudder.coordination.state.RunTimes;
import madderrudder.coordination.state.ScaleOutRequest;
import madderrudder.coordination.state.TaskAttempt;
import madderrudder.estimates.TaskRun;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import madderrudder.protocol.TaskStatus.Phase;
import org.junit.jupiter.api.Test;

/** The ordinary path of the design, decision by decision. */
class PlanningTest {
  private static final long SECOND = 1_000_000;
  private static final MachineType TYPE =
      new MachineType(
          "box", Resources.of(4, 0, 16), 30, 1, 1.0, 0.3, 10 * SECOND, List.of("east", "west"));
  private static final OperatorPolicy POLICY =
      new OperatorPolicy(
          20 * SECOND,
          5 * SECOND,
          10,
          300 * SECOND,
          60 * SECOND,
          OperatorPolicy.SpotMode.UNCOUNTED,
          3 * SECOND,
          0.5,
          0,
          false,
          false);

  private final Map<String, TeamQuota> teams =
      Map.of(
          "alto", new TeamQuota("alto", Resources.of(8, 0, 0), Resources.of(16, 0, 0)),
          "basso", new TeamQuota("basso", Resources.of(4, 0, 0), Resources.of(16, 0, 0)),
          "canto", new TeamQuota("canto", Resources.of(16, 0, 0), Resources.of(16, 0, 0)));
  private final Cluster cluster = cluster(ServiceLevelObjectives.none());
  private long attempts;

  private Cluster cluster(ServiceLevelObjectives objectives) {
    return cluster(objectives, new EstimatedRunTimes());
  }

  private Cluster cluster(ServiceLevelObjectives objectives, RunTimes runTimes) {
    return new Cluster(
        new Deployment(
            List.of("east", "west"),
            teams,
            new Deployment.WorkerTimes(
                2 * SECOND, 14 * SECOND, 35 * SECOND, 4 * SECOND, 44 * SECOND),
            new Deployment.StateLimits(200, 80, 16 * 1024, 48),
            new Deployment.CloudLimits(2, SECOND),
            3,
            0,
            objectives),
        runTimes);
  }

  /** Knows that tasks take between 10 and 40 s, mostly 20, and which end within the next second. */
  private record KnownRunTimes(Set<Assignment> ending) implements RunTimes {
    @Override
    public void observe(TaskRun run) {
      throw new AssertionError("planning does not learn");
    }

    @Override
    public long expectedMicros(Job job) {
      return 20 * SECOND;
    }

    @Override
    public long upperBoundMicros(Job job) {
      return 40 * SECOND;
    }

    @Override
    public long remainingMicros(Assignment assignment, long nowMicros) {
      return 20 * SECOND - RunTimes.ranMicros(assignment, nowMicros);
    }

    @Override
    public boolean endsWithin(Assignment assignment, long nowMicros, long withinMicros) {
      return ending.contains(assignment);
    }
  }

  /**
   * What ends by itself as soon as a stop would be done is not stopped: all it has done would be
   * lost for nothing.
   */
  @Test
  void whatEndsSoonIsNotStopped() {
    Set<Assignment> ending = new HashSet<>();
    Cluster known = cluster(ServiceLevelObjectives.none(), new KnownRunTimes(ending));
    Machine machine = machine("m-0", "east", true);
    known.add(machine);
    Job old = job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 2, 2, false);
    Job urgent = job("req-2", "basso", JobKind.ARRAY, Priority.PRODUCTION, 1, 2, false);
    known.jobs.put("req-1", old);
    known.jobs.put("req-2", urgent);
    Assignment one = put(old, 0, machine);
    Assignment other = put(old, 1, machine);
    assertEquals(1, Preemption.plan(known, POLICY, Demand.of(known, 0), SECOND).size());
    ending.add(one);
    assertEquals(Set.of(), Preemption.plan(known, POLICY, Demand.of(known, 0), SECOND));
    // It frees room for one task only.
    known.jobs.put("req-3", job("req-3", "canto", JobKind.ARRAY, Priority.PRODUCTION, 1, 2, false));
    assertEquals(Set.of(other), Preemption.plan(known, POLICY, Demand.of(known, 0), SECOND));
  }

  /**
   * Room that comes free by itself is kept for a gang that lacks it, as room that is being made is.
   */
  @Test
  void roomThatComesFreeIsKeptForAGang() {
    Set<Assignment> ending = new HashSet<>();
    Cluster known = cluster(ServiceLevelObjectives.none(), new KnownRunTimes(ending));
    Machine free = machine("m-0", "east", true);
    Machine freeing = machine("m-1", "east", true);
    known.add(free);
    known.add(freeing);
    Job old = job("req-1", "alto", JobKind.ARRAY, Priority.LOW, 1, 3, false);
    Assignment last = put(old, 0, freeing);
    Job gang = job("req-2", "canto", JobKind.GANG, Priority.HIGH, 2, 3, false);
    Job small = job("req-3", "basso", JobKind.ARRAY, Priority.LOW, 1, 1, false);
    List.of(old, gang, small).forEach(job -> known.jobs.put(job.spec.id(), job));
    assertEquals(
        List.of(freeing),
        Placer.plan(known, POLICY, Demand.of(known, 0), SECOND).stream()
            .map(Placement::machine)
            .toList());
    ending.add(last);
    assertEquals(List.of(), Placer.plan(known, POLICY, Demand.of(known, 0), SECOND));
  }

  PlanningTest() {
    cluster.types = Map.of("box", TYPE);
  }

  private Machine machine(String id, String zone, boolean owned) {
    Machine machine = new Machine(id, TYPE, zone, false, owned, 0, 0);
    machine.reported = true;
    cluster.add(machine);
    return machine;
  }

  private Job job(
      String id,
      String team,
      JobKind kind,
      Priority priority,
      int tasks,
      double cpus,
      boolean spread) {
    JobSpec spec =
        new JobSpec(
            id,
            "class",
            team,
            kind,
            priority,
            tasks,
            Resources.of(cpus, 0, 1),
            "img",
            1,
            null,
            null,
            false,
            spread,
            true,
            30 * SECOND,
            0,
            0,
            0);
    Job job = new Job(spec, teams.get(team), 1, cluster.jobs.size(), 0);
    cluster.jobs.put(id, job);
    return job;
  }

  private Assignment put(Job job, int task, Machine machine) {
    Assignment assignment =
        new Assignment(
            new TaskId(job.spec.id(), task),
            ++attempts,
            machine,
            job.spec.team(),
            job.spec.perTask(),
            job,
            false,
            0);
    assignment.durable = true;
    assignment.phase = Phase.RUNNING;
    cluster.addAssignment(assignment);
    return assignment;
  }

  private List<ScaleOutRequest> scaleOut(long now, int budget) {
    return ScaleOutPlanner.plan(
        cluster, POLICY, Demand.of(cluster, 0), now, budget, shelf -> 50, List.of());
  }

  /**
   * What others may be let answer counts from before the oldest cancellation that may not have come
   * through everywhere: a deputy that hears the leader, whose worker can't, would keep a cancelled
   * task alive for ever.
   */
  @Test
  void cancellationsThatHaveNotComeThroughHoldGrantsBack() {
    Machine machine = machine("m-0", "east", true);
    Job job = job("req-1", "canto", JobKind.ARRAY, Priority.NORMAL, 3, 1, false);
    Assignment first = put(job, 0, machine);
    Assignment second = put(job, 1, machine);
    assertEquals(100, cluster.cancellationsSettledMicros(100));
    cluster.markCancelled(first, 40);
    cluster.markCancelled(second, 60);
    cluster.markCancelled(first, 70);
    assertEquals(40, cluster.cancellationsSettledMicros(100));
    cluster.release(first, 0);
    assertEquals(60, cluster.cancellationsSettledMicros(100));
    cluster.complete(second);
    assertEquals(100, cluster.cancellationsSettledMicros(100));
    cluster.replaceOrphanTasks(
        machine,
        List.of(new OrphanTask(new TaskAttempt(new TaskId("req-9", 0), 1), "", Resources.NONE)));
    assertEquals(Cluster.LONG_AGO, cluster.cancellationsSettledMicros(100));
    cluster.replaceOrphanTasks(machine, List.of());
    assertEquals(100, cluster.cancellationsSettledMicros(100));
  }

  @Test
  void freeOwnedRoomTakesEachTaskAndRentedRoomOnlyAfterTheThreshold() {
    Machine owned = machine("m-0", "east", true);
    Machine rented = machine("m-1", "east", false);
    job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 2, 4, false);
    List<Placement> early = Placer.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND);
    assertEquals(List.of(owned), early.stream().map(Placement::machine).toList());
    rented.lastHeardMicros = 21 * SECOND;
    owned.lastHeardMicros = 21 * SECOND;
    List<Placement> late = Placer.plan(cluster, POLICY, Demand.of(cluster, 0), 21 * SECOND);
    assertEquals(Set.of(owned, rented), Set.copyOf(late.stream().map(Placement::machine).toList()));
  }

  @Test
  void rentsForHeldTasksAfterTheThresholdWithinTheBudgetAndSteadyOnly() {
    Machine owned = machine("m-0", "east", true);
    put(job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 1, 4, false), 0, owned);
    job("req-2", "basso", JobKind.ARRAY, Priority.NORMAL, 3, 4, false);
    assertEquals(List.of(), scaleOut(19 * SECOND, 10));
    assertEquals(List.of(), scaleOut(21 * SECOND, 0));
    List<ScaleOutRequest> rented = scaleOut(21 * SECOND, 2);
    assertEquals(2, rented.stream().mapToInt(ScaleOutRequest::count).sum());
    assertTrue(rented.stream().allMatch(r -> r.counted() && !r.spot()));
  }

  @Test
  void bootingMachinesCountAsRoom() {
    Machine booting = machine("m-1", "east", false);
    booting.reported = false;
    job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 2, 2, false);
    assertEquals(List.of(), scaleOut(SECOND, 10));
  }

  @Test
  void whatNoOwnedMachineFitsIsRentedForAtOnceAndNotCounted() {
    job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 2, 2, false);
    List<ScaleOutRequest> rented = scaleOut(0, 0);
    assertEquals(1, rented.size());
    assertFalse(rented.get(0).counted());
    assertTrue(rented.get(0).spot());
  }

  @Test
  void teamLimitsAndZonesCountAllThatMayBeThere() {
    Machine east = machine("m-0", "east", true);
    machine("m-1", "east", true);
    machine("m-2", "east", true);
    Job service = job("req-1", "alto", JobKind.SERVICE, Priority.PRODUCTION, 3, 1, true);
    put(service, 0, east);
    assertEquals(1, Placer.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND).size());
    cluster.jobs.clear();
    put(job("req-2", "basso", JobKind.ARRAY, Priority.NORMAL, 1, 3, false), 0, east);
    job("req-3", "basso", JobKind.ARRAY, Priority.NORMAL, 9, 4, false);
    machine("m-3", "east", true);
    machine("m-4", "west", true);
    // 3 of 16 processors are in use; three tasks of 4 still fit under the limit, a fourth does not.
    assertEquals(3, Placer.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND).size());
  }

  @Test
  void productionStopsLowerWorkThatLosesLeastAndNothingThatComesBeforeIt() {
    Machine first = machine("m-0", "east", true);
    Machine second = machine("m-1", "east", true);
    Job batch = job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 2, 4, false);
    Assignment old = put(batch, 0, first);
    Assignment young = put(batch, 1, second);
    old.runningMicros = 0;
    young.runningMicros = 25 * SECOND;
    first.lastHeardMicros = 30 * SECOND;
    second.lastHeardMicros = 30 * SECOND;
    job("req-2", "basso", JobKind.SERVICE, Priority.PRODUCTION, 1, 1, false);
    assertEquals(
        Set.of(young), Preemption.plan(cluster, POLICY, Demand.of(cluster, 0), 30 * SECOND));
  }

  /**
   * Room made by stopping must not go back to what was stopped: that once spun thousands of starts.
   */
  @Test
  void stoppedWorkComesAfterWhatItWasStoppedFor() {
    Machine only = machine("m-0", "east", true);
    Job borrower = job("req-1", "alto", JobKind.ARRAY, Priority.HIGH, 4, 4, false);
    Assignment stopped = put(borrower, 0, only);
    put(borrower, 1, machine("m-1", "east", true));
    put(borrower, 2, machine("m-2", "east", true));
    Job guaranteed = job("req-2", "basso", JobKind.ARRAY, Priority.NORMAL, 1, 4, false);
    Set<Assignment> victims = Preemption.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND);
    assertEquals(1, victims.size());
    assertEquals(borrower, victims.iterator().next().job);
    assertEquals(guaranteed, Demand.of(cluster, 0).waiting().get(0));
    assertEquals("req-1", stopped.task.job());
  }

  private static Machine heardLater(Machine machine) {
    machine.lastHeardMicros = 70 * SECOND;
    return machine;
  }

  /**
   * Where waits are wanted shorter than a boot, ordinary work leaves a share of the room to what is
   * urgent.
   */
  @Test
  void ordinaryWorkLeavesHeadroom() {
    // Twelve tasks are beyond the guarantee; what lies within one is exempt.
    Cluster hasty =
        cluster(new ServiceLevelObjectives(Map.of("class", SECOND), Map.of(), Map.of()));
    hasty.types = cluster.types;
    for (String id : List.of("m-0", "m-1")) {
      hasty.add(heardLater(machine(id, "east", true)));
    }
    Job ordinary = job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 12, 2, false);
    hasty.jobs.put("req-1", ordinary);
    assertEquals(2, Placer.plan(hasty, POLICY, Demand.of(hasty, 0), SECOND).size());
    assertEquals(4, Placer.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND).size());
    hasty.jobs.put("req-2", job("req-2", "basso", JobKind.ARRAY, Priority.HIGH, 4, 2, false));
    assertEquals(4, Placer.plan(hasty, POLICY, Demand.of(hasty, 0), SECOND).size());
    hasty.jobs.remove("req-2");
    // Where nothing can be rented it once waited beside that room for ever; nobody is to do so for
    // 90 s.
    assertEquals(2, Placer.plan(hasty, POLICY, Demand.of(hasty, 0), 59 * SECOND).size());
    assertEquals(4, Placer.plan(hasty, POLICY, Demand.of(hasty, 0), 70 * SECOND).size());
  }

  /**
   * A machine on which tasks of two jobs failed is passed over, for less than the 90 s that nobody
   * is to wait beside its room.
   */
  @Test
  void aMachineIsPassedOverForAMinute() {
    Machine only = heardLater(machine("m-0", "east", true));
    job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 1, 1, false);
    only.recordFailure("req-7", SECOND, 120 * SECOND, 60 * SECOND);
    assertEquals(1, Placer.plan(cluster, POLICY, Demand.of(cluster, 0), 2 * SECOND).size());
    only.recordFailure("req-8", 2 * SECOND, 120 * SECOND, 60 * SECOND);
    assertEquals(0, Placer.plan(cluster, POLICY, Demand.of(cluster, 0), 61 * SECOND).size());
    assertEquals(1, Placer.plan(cluster, POLICY, Demand.of(cluster, 0), 63 * SECOND).size());
    only.recordFailure("req-9", 64 * SECOND, 120 * SECOND, 60 * SECOND);
    assertEquals(0, Placer.plan(cluster, POLICY, Demand.of(cluster, 0), 65 * SECOND).size());
  }

  /** Most replicas once sat on the largest machine, and were missing for a lease when it died. */
  @Test
  void replicasSpreadOverMachines() {
    Machine atTaskLimit = machine("m-0", "east", true);
    Machine other = machine("m-1", "east", true);
    put(job("req-1", "alto", JobKind.SERVICE, Priority.PRODUCTION, 1, 1, false), 0, atTaskLimit);
    put(job("req-2", "alto", JobKind.ARRAY, Priority.NORMAL, 1, 1, false), 0, other);
    job("req-3", "basso", JobKind.SERVICE, Priority.PRODUCTION, 1, 1, false);
    assertEquals(
        List.of(other),
        Placer.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND).stream()
            .map(Placement::machine)
            .toList());
  }

  /**
   * A held task may not use rented room yet: stopping work there for it once went on without end.
   */
  @Test
  void nothingIsStoppedWhereTheTaskMayNotGoYet() {
    put(
        job("req-1", "basso", JobKind.SERVICE, Priority.PRODUCTION, 1, 4, false),
        0,
        machine("m-0", "east", true));
    Machine rented = machine("m-1", "east", false);
    put(job("req-2", "alto", JobKind.ARRAY, Priority.LOW, 3, 4, false), 0, rented);
    job("req-3", "alto", JobKind.SERVICE, Priority.PRODUCTION, 1, 4, false);
    assertEquals(Set.of(), Preemption.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND));
    cluster.machines.values().forEach(machine -> machine.lastHeardMicros = 21 * SECOND);
    assertEquals(1, Preemption.plan(cluster, POLICY, Demand.of(cluster, 0), 21 * SECOND).size());
  }

  private static OperatorPolicy at(long thresholdMicros) {
    return new OperatorPolicy(
        thresholdMicros,
        SECOND,
        10,
        300 * SECOND,
        60 * SECOND,
        OperatorPolicy.SpotMode.UNCOUNTED,
        3 * SECOND,
        0,
        0,
        false,
        false);
  }

  /**
   * Small tasks once refilled every machine that came free, and a gang of whole machines never
   * found enough.
   */
  @Test
  void whatThereIsForAGangIsKeptUntilItHasAllOfIt() {
    Machine free = machine("m-0", "east", true);
    Machine partly = machine("m-1", "east", true);
    Job small = job("req-1", "basso", JobKind.ARRAY, Priority.LOW, 9, 1, false);
    Assignment going = put(small, 0, partly);
    Job gang = job("req-2", "alto", JobKind.GANG, Priority.HIGH, 2, 4, false);
    // Until the other machine is being emptied for it, the gang lacks one; the free one is kept.
    assertEquals(
        List.of(partly, partly, partly),
        Placer.plan(cluster, at(0), Demand.of(cluster, 0), SECOND).stream()
            .map(Placement::machine)
            .toList());
    going.evicting = true;
    assertEquals(List.of(), Placer.plan(cluster, at(0), Demand.of(cluster, 0), SECOND));
    cluster.release(going, SECOND);
    List<Placement> placed = Placer.plan(cluster, at(0), Demand.of(cluster, 0), SECOND);
    assertEquals(
        Set.of(free, partly), Set.copyOf(placed.stream().map(Placement::machine).toList()));
    assertTrue(placed.stream().allMatch(placement -> placement.job() == gang));
  }

  /** One that no machines there could hold, even empty, must not hold up what can run. */
  @Test
  void nothingIsKeptForAGangThatCannotBeHeld() {
    machine("m-0", "east", true);
    job("req-1", "alto", JobKind.GANG, Priority.HIGH, 2, 4, false);
    Job small = job("req-2", "basso", JobKind.ARRAY, Priority.LOW, 4, 1, false);
    assertTrue(
        Placer.plan(cluster, at(0), Demand.of(cluster, 0), SECOND).stream()
            .allMatch(placement -> placement.job() == small));
    assertEquals(4, Placer.plan(cluster, at(0), Demand.of(cluster, 0), SECOND).size());
  }

  /** All the room that a gang lacks is made, where least is lost, or none. */
  @Test
  void roomForAGangIsMadeAllOrNone() {
    Machine light = machine("m-0", "east", true);
    Machine heavy = machine("m-1", "east", true);
    Machine other = machine("m-2", "west", true);
    Job batch = job("req-1", "basso", JobKind.ARRAY, Priority.LOW, 9, 2, false);
    Assignment cheap = put(batch, 0, light);
    put(batch, 1, heavy);
    put(batch, 2, heavy);
    Assignment alone = put(batch, 3, other);
    Job running = job("req-2", "alto", JobKind.GANG, Priority.LOW, 1, 2, false);
    Assignment member = put(running, 0, other);
    job("req-3", "alto", JobKind.GANG, Priority.HIGH, 1, 4, false);
    assertEquals(Set.of(cheap), Preemption.plan(cluster, at(0), Demand.of(cluster, 0), SECOND));
    cluster.jobs.remove("req-3");
    // A machine with a gang's task on it is never emptied, so a gang of three finds only two.
    Job three = job("req-4", "canto", JobKind.GANG, Priority.HIGH, 3, 4, false);
    assertEquals(Set.of(), Preemption.plan(cluster, at(0), Demand.of(cluster, 0), SECOND));
    cluster.release(member, SECOND);
    cluster.jobs.remove("req-2");
    assertTrue(
        Preemption.plan(cluster, at(0), Demand.of(cluster, 0), SECOND)
            .containsAll(Set.of(cheap, alone)));
    assertEquals(0, three.assignments.size());
  }

  /**
   * While gangs came several times as often, bulk work within guarantees took all room before those
   * beyond.
   */
  @Test
  void aPromptGangComesBeforeLowerWorkWithinGuarantees() {
    Cluster hasty =
        cluster(new ServiceLevelObjectives(Map.of("class", SECOND), Map.of(), Map.of()));
    for (Cluster each : List.of(cluster, hasty)) {
      Job bulk = job("req-1", "basso", JobKind.ARRAY, Priority.LOW, 1, 4, false);
      Job gang = job("req-2", "alto", JobKind.GANG, Priority.HIGH, 3, 4, false);
      each.jobs.put("req-1", bulk);
      each.jobs.put("req-2", gang);
      assertEquals(Set.of(bulk), Demand.of(each, 0).guaranteed());
      assertEquals(each == hasty ? gang : bulk, Demand.of(each, 0).waiting().get(0));
    }
  }

  /** Tasks on a machine that was taken away were started again only once its lease was over. */
  @Test
  void whatCannotEndBeforeItsMachineIsTakenIsStopped() {
    Machine going = machine("m-0", "east", false);
    Job batch = job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 3, 1, false);
    Assignment young = put(batch, 0, going);
    Assignment nearlyDone = put(batch, 1, going);
    Assignment replica =
        put(job("req-2", "basso", JobKind.SERVICE, Priority.PRODUCTION, 1, 1, false), 0, going);
    Assignment elsewhere = put(batch, 2, machine("m-1", "east", false));
    young.runningMicros = 10 * SECOND;
    nearlyDone.runningMicros = 0;
    elsewhere.runningMicros = 10 * SECOND;
    replica.runningMicros = 0;
    assertEquals(List.of(), SpotReclaimDrain.plan(cluster, 20 * SECOND));
    // Tasks of this class take 30 s; the cloud takes the machine in 15 s.
    going.reclaimMicros = 35 * SECOND;
    assertEquals(List.of(young), SpotReclaimDrain.plan(cluster, 20 * SECOND));
  }

  /** Counts how often the planners look at a machine for a job. */
  private static final class CountingCluster extends Cluster {
    private long looks;

    CountingCluster(Deployment deployment) {
      super(deployment, new EstimatedRunTimes());
    }

    @Override
    public boolean allowed(Job job, Machine machine) {
      looks++;
      return super.allowed(job, machine);
    }
  }

  /**
   * Planning that looked at each machine for each waiting task took all of the processor at 490
   * machines.
   */
  @Test
  void planningLooksAtEachMachineOnceForAJobNotForEachTask() {
    CountingCluster large = new CountingCluster(cluster.deployment);
    large.types = cluster.types;
    int machines = 400;
    int jobs = 10;
    for (int i = 0; i < machines; i++) {
      Machine machine =
          new Machine("m-" + i, TYPE, i % 2 == 0 ? "east" : "west", false, false, 0, 0);
      machine.reported = true;
      large.add(machine);
    }
    for (int i = 0; i < jobs; i++) {
      large.jobs.put(
          "req-" + i, job("req-" + i, "alto", JobKind.ARRAY, Priority.NORMAL, 300, 0.01, false));
    }
    assertTrue(Placer.plan(large, POLICY, Demand.of(large, 0), SECOND).size() > 300);
    assertTrue(large.looks <= (long) jobs * machines, large.looks + " looks to place");
    large.looks = 0;
    Preemption.plan(large, POLICY, Demand.of(large, 0), SECOND);
    assertTrue(large.looks <= (long) jobs * machines, large.looks + " looks to make room");
    // What ends costs no look at any machine at all.
    large.looks = 0;
    Job first = large.jobs.get("req-0");
    List<Assignment> placed = new ArrayList<>();
    for (int task = 0; task < 300; task++) {
      Assignment assignment =
          new Assignment(
              new TaskId("req-0", task),
              task + 1,
              large.machines.get("m-" + task),
              "alto",
              first.spec.perTask(),
              first,
              false,
              0);
      large.addAssignment(assignment);
      placed.add(assignment);
    }
    assertEquals(3_000, large.usage().get("alto").milliCpus());
    placed.forEach(assignment -> large.release(assignment, SECOND));
    assertEquals(0, large.usage().get("alto").milliCpus());
    assertEquals(0, large.looks);
  }

  /**
   * Production that may not use cheap machines starts at once only in steady room, free or made.
   */
  @Test
  void ordinaryWorkRentsSteadyMachinesUntilProductionHasItsHeadroom() {
    OperatorPolicy patient =
        new OperatorPolicy(
            0,
            SECOND,
            100,
            300 * SECOND,
            SECOND,
            OperatorPolicy.SpotMode.ALWAYS,
            3 * SECOND,
            0.25,
            0.5,
            false,
            false);
    Cluster hasty =
        cluster(
            new ServiceLevelObjectives(
                Map.of("desk", SECOND), Map.of("class", List.of(100 * SECOND)), Map.of()));
    hasty.types = cluster.types;
    hasty.jobs.put("req-1", job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 3, 4, false));
    assertTrue(
        ScaleOutPlanner.plan(
                hasty, patient, Demand.of(hasty, 0), SECOND, 100, shelf -> 50, List.of())
            .stream()
            .allMatch(ScaleOutRequest::spot));
    JobSpec desk =
        new JobSpec(
            "req-2",
            "desk",
            "basso",
            JobKind.SERVICE,
            Priority.PRODUCTION,
            1,
            Resources.of(1, 0, 1),
            "img",
            1,
            null,
            null,
            false,
            false,
            false,
            0,
            0,
            0,
            0);
    Job service = new Job(desk, teams.get("basso"), 1, 1, 0);
    hasty.jobs.put("req-2", service);
    for (String id : List.of("m-0", "m-1", "m-2", "m-3")) {
      Machine machine = new Machine(id, TYPE, "east", !id.equals("m-0"), false, 0, 0);
      machine.reported = true;
      hasty.add(machine);
    }
    hasty.addAssignment(
        new Assignment(
            new TaskId("req-2", 0),
            1,
            hasty.machines.get("m-0"),
            "basso",
            Resources.of(1, 0, 1),
            service,
            false,
            0));
    List<ScaleOutRequest> rented =
        ScaleOutPlanner.plan(
            hasty, patient, Demand.of(hasty, 0), SECOND, 100, shelf -> 50, List.of());
    // A quarter of 16 processors is wanted and 3 of the steady ones are free of production: one
    // more is rented.
    assertEquals(
        1, rented.stream().filter(rental -> !rental.spot()).mapToInt(ScaleOutRequest::count).sum());
    assertEquals(
        2, rented.stream().filter(ScaleOutRequest::spot).mapToInt(ScaleOutRequest::count).sum());
  }

  /** Replicas of a zone that was cut off were missing for a lease and then for a boot as well. */
  @Test
  void machinesBootForProductionOnSilentOnesBeforeTheirLeasesAreOver() {
    Job service = job("req-1", "alto", JobKind.SERVICE, Priority.PRODUCTION, 2, 4, false);
    Machine silent = machine("m-0", "east", false);
    put(service, 0, silent);
    put(service, 1, machine("m-1", "east", false));
    machine("m-2", "east", false);
    long later = 10 * SECOND;
    cluster.machines.values().forEach(machine -> machine.lastHeardMicros = later);
    assertEquals(List.of(), scaleOut(later, 10));
    silent.lastHeardMicros = 0;
    List<ScaleOutRequest> rented = scaleOut(later, 10);
    assertEquals(1, rented.stream().mapToInt(ScaleOutRequest::count).sum());
    // What is on its way counts as room, so that nothing is rented twice.
    assertEquals(
        List.of(),
        ScaleOutPlanner.plan(
            cluster, POLICY, Demand.of(cluster, 0), later, 10, shelf -> 50, rented));
    // With most machines silent, this node is cut off, and renting would help nobody.
    cluster.machines.values().forEach(machine -> machine.lastHeardMicros = 0);
    assertEquals(List.of(), scaleOut(later, 10));
  }

  /** With too much to do, going by deadlines alone once made everything late in turn. */
  @Test
  void whatCanStillBeInTimeComesBeforeWhatIsLate() {
    Cluster wanted =
        cluster(
            new ServiceLevelObjectives(
                Map.of(), Map.of("class", List.of(60 * SECOND, 90 * SECOND)), Map.of()));
    // Both take 30 s, and were accepted at 0 s and 1 us; the first is due at 60 s and can't make it
    // any more.
    for (String id : List.of("req-1", "req-2")) {
      Job job = job(id, "alto", JobKind.ARRAY, Priority.NORMAL, 40, 2, false);
      wanted.jobs.put(id, job);
    }
    Job late = wanted.jobs.get("req-1");
    Job fresh = wanted.jobs.get("req-2");
    assertEquals(List.of(late, fresh), Demand.of(wanted, 30 * SECOND).waiting());
    assertEquals(List.of(fresh, late), Demand.of(wanted, 30 * SECOND + 1).waiting());
    assertEquals(List.of(late, fresh), Demand.of(wanted, 200 * SECOND).waiting());
    // Tasks turn out to take half as long as estimated: the first can be in time after all.
    for (int i = 0; i < 200; i++) {
      wanted.runTimes.observe(
          new TaskRun(late.profile, i, i, "", "", late.spec.estimateMicros(), 15 * SECOND, true));
    }
    assertEquals(List.of(late, fresh), Demand.of(wanted, 30 * SECOND + 1).waiting());
  }

  @Test
  void aGangIsPlacedWholeOrNotAtAll() {
    machine("m-0", "east", true);
    job("req-1", "alto", JobKind.GANG, Priority.NORMAL, 2, 3, false);
    assertEquals(List.of(), Placer.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND));
    machine("m-1", "west", true);
    assertEquals(2, Placer.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND).size());
  }

  /**
   * A mistake in a job costs next to nothing: no rental, and one task at a time, each later than
   * the one before. Its three hundred tasks once were tried each on its own account.
   */
  @Test
  void aJobThatFailsEverywhereCostsNextToNothing() {
    for (int i = 0; i < 4; i++) {
      machine("m-" + i, "east", true);
    }
    Job wrong = job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 300, 1, false);
    for (int i = 0; i < 4; i++) {
      wrong.failed(i, "m-" + i, 0);
    }
    assertTrue(wrong.failing());
    assertEquals(List.of(), scaleOut(100 * SECOND, 10));
    int tried = 0;
    for (long now = 0; now < 600 * SECOND; now += SECOND) {
      for (Machine machine : cluster.machines.values()) {
        machine.lastHeardMicros = now;
      }
      for (Placement placement : Placer.plan(cluster, POLICY, Demand.of(cluster, 0), now)) {
        wrong.failed(placement.task(), placement.machine().id, now);
        tried++;
      }
    }
    assertTrue(tried > 8 && tried < 20, tried + " tries in ten minutes");
    wrong.completed();
    cluster.machines.values().forEach(machine -> machine.lastHeardMicros = 700 * SECOND);
    // Nor has it nowhere to go because it has failed everywhere.
    assertTrue(
        Placer.plan(cluster, POLICY, Demand.of(cluster, 0), 700 * SECOND).size() > 4,
        "it is not tried in full");
  }

  /**
   * What can't be in time comes last, and once did so for as long as others came that could: by and
   * by it moves ahead of all others that lie within no guarantee, and back to its place once it has
   * begun.
   */
  @Test
  void whatIsOverlookedMovesAhead() {
    Machine there = machine("m-0", "east", true);
    Job large = job("req-1", "alto", JobKind.ARRAY, Priority.LOW, 400, 1, false);
    Job other = job("req-2", "basso", JobKind.ARRAY, Priority.NORMAL, 100, 1, false);
    Job guaranteed = job("req-3", "canto", JobKind.ARRAY, Priority.NORMAL, 1, 1, false);
    assertEquals(List.of(guaranteed, other, large), Demand.of(cluster, 89 * SECOND).waiting());
    other.done.set(0);
    assertEquals(List.of(guaranteed, large, other), Demand.of(cluster, 91 * SECOND).waiting());
    put(large, 0, there);
    assertEquals(List.of(guaranteed, other, large), Demand.of(cluster, 91 * SECOND).waiting());
  }

  /**
   * What boots for far longer than its type takes is no room any more; what it is replaced by is.
   */
  @Test
  void aBootThatIsFarTooLateIsNoRoom() {
    job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 1, 3, false);
    Machine late = new Machine("m-0", TYPE, "east", false, false, 0, 0);
    cluster.add(late);
    assertEquals(List.of(), scaleOut(21 * SECOND, 10));
    assertEquals(1, scaleOut(30 * SECOND, 10).size());
    cluster.add(new Machine("m-1", TYPE, "east", false, false, 0, 30 * SECOND));
    assertEquals(List.of(), scaleOut(31 * SECOND, 10));
  }

  /**
   * Each machine asked for takes from the budget: where none is to be had, or none comes up, one is
   * asked for.
   */
  @Test
  void emptyShelvesAndFailingBootsAreAskedLess() {
    CapacityPoolLimits limits = new CapacityPoolLimits();
    CapacityPool pool = new CapacityPool("box", "east", true);
    assertEquals(50, limits.requestLimit(pool, 0));
    limits.recordAnswer(pool, 50, 0, 0);
    assertEquals(0, limits.requestLimit(pool, 19 * SECOND));
    assertEquals(1, limits.requestLimit(pool, 20 * SECOND));
    int asked = 0;
    long now = 20 * SECOND;
    for (int most = 1; most < 50; most = limits.requestLimit(pool, now)) {
      limits.recordAnswer(pool, most, most, now);
      asked++;
    }
    assertEquals(2, asked);
    for (int i = 0; i < 2; i++) {
      limits.recordBootFailure(pool, now);
    }
    assertEquals(50, limits.requestLimit(pool, now));
    limits.recordBootFailure(pool, now);
    assertEquals(0, limits.requestLimit(pool, now));
    assertEquals(1, limits.requestLimit(pool, now + 20 * SECOND));
    limits.recordBoot(pool);
    limits.recordBootFailure(pool, now);
    assertEquals(1, limits.requestLimit(pool, now + 20 * SECOND));
  }

  @Test
  void answeringWithoutNewsEndsBeforeACancelledTaskIsDue() {
    Deployment.WorkerTimes workers = cluster.deployment.workers();
    SafetyBounds safety = SafetyBounds.of(workers);
    double drift = 1.0005 / 0.9995;
    assertTrue((safety.answerMicros() + workers.leaseMicros()) * drift < workers.cancelMicros());
    assertTrue(safety.leaseMicros() > workers.leaseMicros() * drift);
    assertTrue(SafetyBounds.leaseEndMicros(0, 3 * SECOND) * drift < 3 * SECOND);
  }
}
