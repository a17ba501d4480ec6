package madderrudder.config;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import madderrudder.coordination.policy.Deployment;
import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.coordination.policy.ServiceLevelObjectives;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;

/** Reads the {@code deployment} section of the platform's settings. */
final class DeploymentReader {
  private static final String PATH = "deployment.";

  /**
   * The lower limit of {@link SafetyBounds#maxAnswerWithoutStoreMicros}. A shorter time leaves no
   * room for two responses of the store before heartbeats may no longer be answered and the
   * workers' leases expire.
   */
  private static final long MIN_HEARTBEAT_ANSWER_MICROS = 4_000_000;

  private static final int MIN_TRANSACTION_WRITES = 8;
  private static final int MIN_VALUE_KB = 4;

  private final SettingsProblems problems;
  private final JsonFields section;
  private final JsonFields emptySection;

  /**
   * Creates a reader of one section.
   *
   * @param problems collects the problems found
   * @param section the {@code deployment} section
   * @param emptySection replaces a missing subsection
   */
  DeploymentReader(SettingsProblems problems, JsonFields section, JsonFields emptySection) {
    this.problems = problems;
    this.section = section;
    this.emptySection = emptySection;
  }

  /** Reads the deployment; the count of controllers includes this one. */
  Deployment read(int controllerCount) {
    Map<String, TeamQuota> teams = readTeams();
    JsonFields workers = subsection("workers");
    JsonFields state = subsection("state");
    JsonFields cloud = subsection("cloud");
    Deployment.WorkerTimes times = readWorkerTimes(workers);
    Deployment.StateLimits stateLimits = readStateLimits(state);
    return new Deployment(
        problems.readOrDefault(PATH + "zones", List.<String>of(), () -> section.texts("zones")),
        teams,
        times,
        stateLimits,
        readCloudLimits(cloud),
        controllerCount,
        readMaxClockErrorMicros(),
        problems.readOrDefault(
            PATH + "objectives", ServiceLevelObjectives.none(), this::readObjectives));
  }

  private JsonFields subsection(String name) {
    return problems.readOrDefault(PATH + name, emptySection, () -> section.object(name));
  }

  private Map<String, TeamQuota> readTeams() {
    Map<String, TeamQuota> teams = new LinkedHashMap<>();
    List<JsonFields> sections =
        problems.readOrDefault(
            PATH + "teams", List.<JsonFields>of(), () -> section.objects("teams"));
    for (JsonFields team : sections) {
      String path = PATH + "teams[" + teams.size() + "]";
      String name = problems.readOrDefault(path, "", () -> team.text("name"));
      Resources guaranteed = readResources(path, team, "cpus", "gpus");
      Resources limit = readResources(path, team, "cpus_max", "gpus_max");
      teams.put(name, TeamQuota.of(name, guaranteed, limit));
    }
    return teams;
  }

  private Resources readResources(String path, JsonFields team, String cpus, String gpus) {
    BigDecimal cpuAmount = readAmount(path, team, cpus);
    BigDecimal gpuAmount = readAmount(path, team, gpus);
    return Resources.available(cpuAmount, gpuAmount, BigDecimal.ZERO);
  }

  /**
   * Reads an amount of a team; 0 if it is missing or invalid. An amount above 0 that rounds down to
   * 0 is invalid, since 0 stands for no bound.
   */
  private BigDecimal readAmount(String path, JsonFields team, String name) {
    BigDecimal amount =
        problems.readOrDefault(path, BigDecimal.ZERO, () -> team.decimal(name, BigDecimal.ZERO));
    if (amount.signum() > 0 && amount.compareTo(Resources.SMALLEST) < 0) {
      problems.add(path + "." + name, "must be 0 or at least 1e-9, not " + amount);
    }
    return amount;
  }

  private Deployment.WorkerTimes readWorkerTimes(JsonFields workers) {
    String path = PATH + "workers.";
    Deployment.WorkerTimes times =
        new Deployment.WorkerTimes(
            problems.positiveSecondsAsMicros(path, workers, "report_s"),
            problems.positiveSecondsAsMicros(path, workers, "lease_s"),
            problems.positiveSecondsAsMicros(path, workers, "gang_wait_s"),
            problems.positiveSecondsAsMicros(path, workers, "gang_peer_s"),
            problems.positiveSecondsAsMicros(path, workers, "cancel_s"));
    if (problems.isEmpty()
        && SafetyBounds.of(times).maxAnswerWithoutStoreMicros() < MIN_HEARTBEAT_ANSWER_MICROS) {
      problems.add(
          path + "cancel_s",
          "%s s must exceed lease_s, %s s, by at least 6 s; otherwise heartbeats can't be answered safely"
              .formatted(times.cancelDeadlineMicros() / 1e6, times.leaseMicros() / 1e6));
    }
    return times;
  }

  private Deployment.StateLimits readStateLimits(JsonFields state) {
    String path = PATH + "state.";
    int transactionWrites = (int) problems.positiveAmount(path, state, "txn_ops");
    double valueKb = problems.positiveAmount(path, state, "value_kb");
    if (transactionWrites < MIN_TRANSACTION_WRITES) {
      problems.add(
          path + "txn_ops",
          "must be at least " + MIN_TRANSACTION_WRITES + ", not " + transactionWrites);
    }
    if (valueKb < MIN_VALUE_KB) {
      problems.add(path + "value_kb", "must be at least " + MIN_VALUE_KB + ", not " + valueKb);
    }
    return new Deployment.StateLimits(
        problems.positiveAmount(path, state, "rps"),
        problems.positiveAmount(path, state, "write_rps"),
        (int) (valueKb * 1024),
        transactionWrites);
  }

  private Deployment.CloudLimits readCloudLimits(JsonFields cloud) {
    String path = PATH + "cloud.";
    return new Deployment.CloudLimits(
        problems.positiveAmount(path, cloud, "rps"),
        problems.readOrDefault(path + "list_lag_s", 1L, () -> cloud.secondsAsMicros("list_lag_s")));
  }

  private long readMaxClockErrorMicros() {
    double millis =
        problems.readOrDefault(PATH + "clock_off_ms", 0.0, () -> section.amount("clock_off_ms", 0));
    return Math.round(millis * 1e3);
  }

  /** Reads the objectives for the start and completion times of jobs; skips all other kinds. */
  private ServiceLevelObjectives readObjectives() throws MalformedMessageException {
    Map<String, Long> waitMicros = new HashMap<>();
    Map<String, List<Long>> finishMicros = new HashMap<>();
    Map<String, List<Double>> deadlineMultiples = new HashMap<>();
    if (section.has("objectives")) {
      for (JsonFields objective : section.objects("objectives")) {
        String jobClass = objective.text("class", "");
        switch (objective.text("kind", "")) {
          case "wait" ->
              waitMicros.merge(jobClass, objective.secondsAsMicros("within_s"), Math::min);
          case "finished" ->
              finishMicros
                  .computeIfAbsent(jobClass, c -> new ArrayList<>())
                  .add(objective.secondsAsMicros("within_s"));
          case "deadline" ->
              deadlineMultiples
                  .computeIfAbsent(jobClass, c -> new ArrayList<>())
                  .add(objective.amount("times", 1));
          default -> {}
        }
      }
    }
    return new ServiceLevelObjectives(waitMicros, finishMicros, deadlineMultiples);
  }
}
