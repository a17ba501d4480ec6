package madderrudder.config;

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

/** Reads the section {@code deployment} of the platform's settings. */
final class DeploymentReader {
  private static final String PATH = "deployment.";

  /** Less than this leaves no time to hear from the store twice before workers must be let go. */
  private static final long MIN_ANSWER_MICROS = 4_000_000;

  private static final int MIN_TRANSACTION_WRITES = 8;
  private static final int MIN_VALUE_KB = 4;

  private final SettingsProblems problems;
  private final JsonFields section;
  private final JsonFields empty;

  /** {@code empty} stands for a section that is missing. */
  DeploymentReader(SettingsProblems problems, JsonFields section, JsonFields empty) {
    this.problems = problems;
    this.section = section;
    this.empty = empty;
  }

  /** The deployment, of so many controllers. */
  Deployment read(int members) {
    Map<String, TeamQuota> teams = teams();
    JsonFields workers = subsection("workers");
    JsonFields state = subsection("state");
    JsonFields cloud = subsection("cloud");
    Deployment.WorkerTimes times = workerTimes(workers);
    Deployment.StateLimits stateLimits = stateLimits(state);
    return new Deployment(
        problems.read(PATH + "zones", List.<String>of(), () -> section.texts("zones")),
        teams,
        times,
        stateLimits,
        cloudLimits(cloud),
        members,
        clockOffMicros(),
        problems.read(PATH + "objectives", ServiceLevelObjectives.none(), this::objectives));
  }

  private JsonFields subsection(String name) {
    return problems.read(PATH + name, empty, () -> section.object(name));
  }

  private Map<String, TeamQuota> teams() {
    Map<String, TeamQuota> teams = new LinkedHashMap<>();
    List<JsonFields> all =
        problems.read(PATH + "teams", List.<JsonFields>of(), () -> section.objects("teams"));
    for (JsonFields team : all) {
      String path = PATH + "teams[" + teams.size() + "]";
      String name = problems.read(path, "", () -> team.text("name"));
      Resources guaranteed = resources(path, team, "cpus", "gpus");
      Resources limit = resources(path, team, "cpus_max", "gpus_max");
      teams.put(name, TeamQuota.of(name, guaranteed, limit));
    }
    return teams;
  }

  private Resources resources(String path, JsonFields team, String cpus, String gpus) {
    return problems.read(
        path, Resources.NONE, () -> Resources.of(team.amount(cpus, 0), team.amount(gpus, 0), 0));
  }

  private Deployment.WorkerTimes workerTimes(JsonFields workers) {
    String path = PATH + "workers.";
    Deployment.WorkerTimes times =
        new Deployment.WorkerTimes(
            problems.positiveMicros(path, workers, "report_s"),
            problems.positiveMicros(path, workers, "lease_s"),
            problems.positiveMicros(path, workers, "gang_wait_s"),
            problems.positiveMicros(path, workers, "gang_peer_s"),
            problems.positiveMicros(path, workers, "cancel_s"));
    if (problems.none()
        && SafetyBounds.of(times).maxAnswerWithoutStoreMicros() < MIN_ANSWER_MICROS) {
      problems.add(
          path + "cancel_s",
          "%s s must exceed lease_s, %s s, by 6 s or more, or no heartbeat could be answered safely"
              .formatted(times.cancelDeadlineMicros() / 1e6, times.leaseMicros() / 1e6));
    }
    return times;
  }

  private Deployment.StateLimits stateLimits(JsonFields state) {
    String path = PATH + "state.";
    int transactionWrites = (int) problems.positive(path, state, "txn_ops");
    double valueKb = problems.positive(path, state, "value_kb");
    if (transactionWrites < MIN_TRANSACTION_WRITES) {
      problems.add(
          path + "txn_ops",
          "must be at least " + MIN_TRANSACTION_WRITES + ", not " + transactionWrites);
    }
    if (valueKb < MIN_VALUE_KB) {
      problems.add(path + "value_kb", "must be at least " + MIN_VALUE_KB + ", not " + valueKb);
    }
    return new Deployment.StateLimits(
        problems.positive(path, state, "rps"),
        problems.positive(path, state, "write_rps"),
        (int) (valueKb * 1024),
        transactionWrites);
  }

  private Deployment.CloudLimits cloudLimits(JsonFields cloud) {
    String path = PATH + "cloud.";
    return new Deployment.CloudLimits(
        problems.positive(path, cloud, "rps"),
        problems.read(path + "list_lag_s", 1L, () -> cloud.secondsAsMicros("list_lag_s")));
  }

  private long clockOffMicros() {
    double millis =
        problems.read(PATH + "clock_off_ms", 0.0, () -> section.amount("clock_off_ms", 0));
    return Math.round(millis * 1e3);
  }

  /** Kinds that say nothing of when a job should start or be complete are left to others. */
  private ServiceLevelObjectives objectives() throws MalformedMessageException {
    Map<String, Long> waits = new HashMap<>();
    Map<String, List<Long>> finishes = new HashMap<>();
    Map<String, List<Double>> deadlines = new HashMap<>();
    if (section.has("objectives")) {
      for (JsonFields objective : section.objects("objectives")) {
        String jobClass = objective.text("class", "");
        switch (objective.text("kind", "")) {
          case "wait" -> waits.merge(jobClass, objective.secondsAsMicros("within_s"), Math::min);
          case "finished" ->
              finishes
                  .computeIfAbsent(jobClass, c -> new ArrayList<>())
                  .add(objective.secondsAsMicros("within_s"));
          case "deadline" ->
              deadlines
                  .computeIfAbsent(jobClass, c -> new ArrayList<>())
                  .add(objective.amount("times", 1));
          default -> {}
        }
      }
    }
    return new ServiceLevelObjectives(waits, finishes, deadlines);
  }
}
