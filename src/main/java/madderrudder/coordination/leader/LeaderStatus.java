package madderrudder.coordination.leader;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Map;
import java.util.function.Predicate;
import madderrudder.coordination.reconciliation.ClusterCoverage;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.scaleout.ScaleOutController;
import madderrudder.coordination.state.ClusterSummary;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports the state of the cluster to operators, in {@code GET /metrics} and in the log. Confined
 * to the event loop thread.
 */
final class LeaderStatus {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderStatus.class);

  private final LeaderTerm term;
  private final ScaleOutController scaleOut;
  private final CoverageTracker coverage;
  private final PlanningLoop planning;

  LeaderStatus(
      LeaderTerm term,
      ScaleOutController scaleOut,
      CoverageTracker coverage,
      PlanningLoop planning) {
    this.term = term;
    this.scaleOut = scaleOut;
    this.coverage = coverage;
    this.planning = planning;
  }

  /** Logs one line with the machines in use, the waiting tasks and the remaining budget. */
  void logSummary() {
    LOG.info(
        "machines and processors in use: {}; {} tasks waiting, {} unwritten changes, budget left {}",
        ClusterSummary.of(term.cluster),
        waitingTasks(),
        term.commitQueue.backlog(),
        scaleOut.budgetLeft());
  }

  /** Writes the fields of {@code GET /metrics} that only the leader provides. */
  void writeMetrics(JsonGenerator out) throws IOException {
    out.writeNumberField("jobs", term.cluster.jobs.size());
    out.writeNumberField("waiting_tasks", waitingTasks());
    out.writeNumberField("unwritten_changes", term.commitQueue.backlog());
    out.writeNumberField("rentals_under_way", scaleOut.pendingRequestCount());
    out.writeNumberField("budget_left", scaleOut.budgetLeft());
    out.writeStringField("machines", ClusterSummary.of(term.cluster));
    long nowMicros = term.scheduler.nowMicros();
    out.writeNumberField(
        "jobs_failing", term.cluster.jobs.values().stream().filter(Job::failing).count());
    out.writeNumberField(
        "machines_passed_over", countMachines(machine -> machine.cordoned(nowMicros)));
    out.writeNumberField("machines_in_doubt", countMachines(Machine::unacknowledged));
    out.writeNumberField(
        "boots_late",
        countMachines(machine -> machine.booting() && !machine.bootingOnTime(nowMicros)));
    if (term.learnedRunTimes != null) {
      term.learnedRunTimes.writeMetrics(out);
    }
    writeCoverage(out, coverage.coverage());
  }

  private void writeCoverage(JsonGenerator out, ClusterCoverage current) throws IOException {
    out.writeObjectFieldStart("heard");
    out.writeNumberField("share", current.share());
    out.writeBooleanField("overdue", current.reportTimeoutPassed());
    out.writeNumberField("jobs_held_back", planning.jobsHeldBack());
    writeShares(out, "zones", current.zones());
    writeShares(out, "types", current.types());
    writeShares(out, "teams", current.teams());
    out.writeEndObject();
  }

  private static void writeShares(
      JsonGenerator out, String name, Map<String, ClusterCoverage.Count> shares)
      throws IOException {
    out.writeObjectFieldStart(name);
    for (Map.Entry<String, ClusterCoverage.Count> share : shares.entrySet()) {
      out.writeNumberField(share.getKey(), share.getValue().share());
    }
    out.writeEndObject();
  }

  private int waitingTasks() {
    return term.cluster.jobs.values().stream().mapToInt(Job::waitingCount).sum();
  }

  private long countMachines(Predicate<Machine> condition) {
    return term.cluster.machines.values().stream().filter(condition).count();
  }
}
