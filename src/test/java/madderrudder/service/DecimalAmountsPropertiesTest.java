package madderrudder.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.math.RoundingMode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.persistence.LogSegment;
import madderrudder.persistence.LogSegmentBuilder;
import madderrudder.protocol.CloudCodec;
import madderrudder.protocol.JobCodec;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.statistics.Statistics;

/**
 * Guards against rounded amounts: tasks that together exceed a machine or a team's limit, counted
 * as their users wrote them, jobs that are accepted though they fit nowhere, and capacity that is
 * given away for it.
 */
class DecimalAmountsPropertiesTest {
  /** Amounts with at most so many decimal places are counted exactly. */
  private static final int EXACT_DIGITS = 9;

  /** The most tasks of a job. */
  private static final int MAX_TASKS = 100_000;

  /** Up to 96 units with up to 9 decimal places. */
  @Provide
  Arbitrary<BigDecimal> exactAmounts() {
    return Combinators.combine(
            Arbitraries.longs().between(1, 96_000_000_000L),
            Arbitraries.integers().between(0, EXACT_DIGITS))
        .as(
            (nanos, digits) ->
                BigDecimal.valueOf(nanos, EXACT_DIGITS).setScale(digits, RoundingMode.UP));
  }

  /** Up to some 96 units with up to 30 decimal places. */
  @Provide
  Arbitrary<BigDecimal> amounts() {
    Arbitrary<BigDecimal> longAmounts =
        Combinators.combine(
                Arbitraries.bigIntegers().between(BigInteger.ONE, BigInteger.TEN.pow(32)),
                Arbitraries.integers().between(20, 30))
            .as((digits, scale) -> new BigDecimal(digits, scale).stripTrailingZeros())
            .filter(amount -> amount.compareTo(BigDecimal.valueOf(96)) <= 0);
    return Arbitraries.oneOf(exactAmounts(), longAmounts);
  }

  /** The settings refuse a smaller limit, other than 0, which stands for none. */
  @Provide
  Arbitrary<BigDecimal> limits() {
    return amounts().filter(amount -> amount.compareTo(Resources.SMALLEST) >= 0);
  }

  private static JsonFields json(String text) throws MalformedMessageException {
    return Json.readObject(text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
  }

  private static JobSpec job(String kind, int tasks, BigDecimal cpus)
      throws MalformedMessageException {
    return JobCodec.read(
        json(
            "{'id':'req-1','rig':'train','crew':'alto','cut':'"
                + kind
                + "','rank':'urgent','strokes':"
                + tasks
                + ",'cores':"
                + cpus
                + ",'accelerators':0,'mem_gb':"
                + cpus
                + ",'hull':'img','image_gb':1,'builds':null,'berth':null,'one_zone':false,"
                + "'apart':false,'driftwood':true,'reckon_s':1,'mark_s':0,'stow_s':0}"));
  }

  private static MachineType machineType(BigDecimal cpus) throws MalformedMessageException {
    return CloudCodec.readCatalog(
            json(
                "{'builds':[{'label':'box','cores':"
                    + cpus
                    + ",'mem_gb':"
                    + cpus
                    + ",'price':1,'startup_s':1,'berths':['a']}]}"))
        .get(0);
  }

  private static TeamQuota quota(BigDecimal limitCpus) {
    Resources limit = Resources.available(limitCpus, BigDecimal.ZERO, BigDecimal.ZERO);
    return TeamQuota.of("alto", Resources.NONE, limit);
  }

  private static Optional<RejectionReason> rejection(
      JobSpec job, BigDecimal machineCpus, BigDecimal limitCpus) throws MalformedMessageException {
    return JobAdmission.rejectionReason(
        job, Map.of("alto", quota(limitCpus)), List.of(machineType(machineCpus)));
  }

  private static boolean isExact(BigDecimal amount) {
    return amount.stripTrailingZeros().scale() <= EXACT_DIGITS;
  }

  /** The most tasks that fit on a machine together, by the planner's count. */
  @Property(seed = "41")
  void tasksOnMachineFitAsWrittenAndFillIt(
      @ForAll("amounts") BigDecimal task, @ForAll("amounts") BigDecimal machine)
      throws MalformedMessageException {
    long fitting =
        job("array", 1, task).resourcesPerTask().timesIn(machineType(machine).capacity());
    assertTrue(task.multiply(BigDecimal.valueOf(fitting)).compareTo(machine) <= 0);
    if (fitting < MAX_TASKS && isExact(task) && isExact(machine)) {
      assertTrue(task.multiply(BigDecimal.valueOf(fitting + 1)).compareTo(machine) > 0);
    }
    Statistics.collect(fitting > 0);
  }

  @Property(seed = "42")
  void tasksOfTeamStayWithinLimitAsWrittenAndFillIt(
      @ForAll("amounts") BigDecimal task,
      @ForAll("limits") BigDecimal limit,
      @ForAll @IntRange(min = 1, max = 300) int tasks)
      throws MalformedMessageException {
    Resources perTask = job("array", 1, task).resourcesPerTask();
    TeamQuota quota = quota(limit);
    Resources used = Resources.NONE;
    int running = 0;
    while (running < tasks && quota.allows(used.plus(perTask))) {
      used = used.plus(perTask);
      running++;
    }
    assertTrue(task.multiply(BigDecimal.valueOf(running)).compareTo(limit) <= 0);
    if (running < tasks && isExact(task) && isExact(limit)) {
      assertTrue(task.multiply(BigDecimal.valueOf(running + 1)).compareTo(limit) > 0);
    }
  }

  @Property(seed = "43")
  void acceptsJustTheJobsThatFitAsWritten(
      @ForAll("amounts") BigDecimal task,
      @ForAll("amounts") BigDecimal machine,
      @ForAll("limits") BigDecimal limit,
      @ForAll @IntRange(min = 1, max = 9) int tasks)
      throws MalformedMessageException {
    for (String kind : List.of("array", "gang", "service")) {
      BigDecimal together = kind.equals("array") ? task : task.multiply(BigDecimal.valueOf(tasks));
      boolean fits = task.compareTo(machine) <= 0 && together.compareTo(limit) <= 0;
      boolean accepted = rejection(job(kind, tasks, task), machine, limit).isEmpty();
      assertTrue(fits || !accepted, "accepted a " + kind + " that fits nowhere");
      if (isExact(task) && isExact(machine) && isExact(limit)) {
        assertEquals(fits, accepted, kind);
      }
      Statistics.collect(accepted);
    }
  }

  @Property(seed = "44")
  void storedAmountsAreReadUnchanged(@ForAll("amounts") BigDecimal task)
      throws MalformedMessageException {
    JobSpec job = job("array", 1, task);
    assertEquals(job, JobCodec.read(Json.readObject(Json.object(out -> JobCodec.write(out, job)))));
    LogSegmentBuilder builder = new LogSegmentBuilder(10_000);
    LogSegment.Usage usage = new LogSegment.Usage("alto", job.resourcesPerTask());
    builder.add(new LogSegment.Placement(new TaskId("req-1", 0), 1, usage, "m-1"));
    LogSegment segment = LogSegment.read(Json.readObject(builder.encode(1)));
    assertEquals(usage, segment.placements().get(0).usage());
  }
}
