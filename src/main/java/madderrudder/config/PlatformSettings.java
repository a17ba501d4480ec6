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
import madderrudder.protocol.Fields;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;
import madderrudder.transport.Addresses;

/**
 * The platform's settings, checked. {@code peers} gives the other controllers' addresses by their
 * names.
 */
public record PlatformSettings(
    String member,
    String zone,
    String clientListen,
    String meshListen,
    Map<String, String> peers,
    String cloudAddress,
    String stateAddress,
    Deployment deployment,
    int maxSockets) {
  /** Less than this leaves no time to hear from the store twice before workers must be let go. */
  private static final long LEAST_ANSWER_MICROS = 4_000_000;

  private static final int LEAST_WRITES = 8;
  private static final int LEAST_VALUE_KB = 4;

  /** Everything that is wrong with the settings, a line each. */
  public static final class Invalid extends Exception {
    private final List<String> problems;

    public Invalid(List<String> problems) {
      super(String.join("; ", problems));
      this.problems = List.copyOf(problems);
    }

    public List<String> problems() {
      return problems;
    }
  }

  /** Reads one field, or reports what is wrong with it. */
  private interface Reader<T> {
    T read() throws MalformedMessageException;
  }

  /** Collects problems so that all of them are named at once. */
  private static final class Check {
    private final List<String> problems = new ArrayList<>();

    <T> T read(String path, T otherwise, Reader<T> reader) {
      try {
        return reader.read();
      } catch (MalformedMessageException e) {
        problems.add(path + ": " + e.getMessage());
        return otherwise;
      }
    }

    String address(String path, Fields in, String name) {
      String address = read(path + name, "", () -> in.text(name));
      if (!address.isEmpty() && !Addresses.valid(address)) {
        problems.add(path + name + ": not an address like 10.0.0.1:8080");
      }
      return address;
    }

    double positive(String path, Fields in, String name) {
      double value = read(path + name, 1.0, () -> in.amount(name));
      if (value <= 0) {
        problems.add(path + name + ": must be above 0");
        return 1.0;
      }
      return value;
    }

    long positiveMicros(String path, Fields in, String name) {
      return Math.round(positive(path, in, name) * 1e6);
    }
  }

  public static PlatformSettings parse(byte[] text) throws Invalid {
    Check check = new Check();
    Fields in;
    Fields nothing;
    try {
      nothing = Json.readObject(new byte[] {'{', '}'});
      in = Json.readObject(text);
    } catch (MalformedMessageException e) {
      throw new Invalid(List.of("the settings are " + e.getMessage()));
    }
    Map<String, String> peers = new LinkedHashMap<>();
    for (Fields peer : check.read("members", List.<Fields>of(), () -> in.objects("members"))) {
      String path = "members[" + peers.size() + "].";
      String name = check.read(path + "member", "", () -> peer.text("member"));
      if (peers.put(name, check.address(path, peer, "peer_addr")) != null) {
        check.problems.add(path + "member: named twice");
      }
    }
    Fields external = check.read("external", nothing, () -> in.object("external"));
    Fields deployment = check.read("deployment", nothing, () -> in.object("deployment"));
    PlatformSettings settings =
        new PlatformSettings(
            check.read("member", "", () -> in.text("member")),
            check.read("zone", "", () -> in.text("zone")),
            check.address("", in, "client_listen"),
            check.address("", in, "mesh_addr"),
            peers,
            check.address("external.", external, "cloud"),
            check.address("external.", external, "state"),
            readDeployment(check, deployment, peers.size() + 1),
            maxSockets(check, deployment, nothing));
    if (!check.problems.isEmpty()) {
      throw new Invalid(check.problems);
    }
    return settings;
  }

  private static int maxSockets(Check check, Fields deployment, Fields nothing) {
    Fields limits =
        deployment.has("limits")
            ? check.read("deployment.limits", nothing, () -> deployment.object("limits"))
            : nothing;
    return (int)
        (limits.has("max_sockets")
            ? check.positive("deployment.limits.", limits, "max_sockets")
            : 1024);
  }

  private static Deployment readDeployment(Check check, Fields in, int members) {
    String path = "deployment.";
    Fields nothing = in;
    Map<String, TeamQuota> teams = new LinkedHashMap<>();
    for (Fields team : check.read(path + "teams", List.<Fields>of(), () -> in.objects("teams"))) {
      String where = path + "teams[" + teams.size() + "]";
      String name = check.read(where, "", () -> team.text("name"));
      teams.put(
          name,
          TeamQuota.of(
              name,
              check.read(
                  where,
                  Resources.NONE,
                  () -> Resources.of(team.amount("cpus", 0), team.amount("gpus", 0), 0)),
              check.read(
                  where,
                  Resources.NONE,
                  () -> Resources.of(team.amount("cpus_max", 0), team.amount("gpus_max", 0), 0))));
    }
    Fields workers = check.read(path + "workers", nothing, () -> in.object("workers"));
    Fields state = check.read(path + "state", nothing, () -> in.object("state"));
    Fields cloud = check.read(path + "cloud", nothing, () -> in.object("cloud"));
    Deployment.WorkerTimes times =
        new Deployment.WorkerTimes(
            check.positiveMicros(path + "workers.", workers, "report_s"),
            check.positiveMicros(path + "workers.", workers, "lease_s"),
            check.positiveMicros(path + "workers.", workers, "gang_wait_s"),
            check.positiveMicros(path + "workers.", workers, "gang_peer_s"),
            check.positiveMicros(path + "workers.", workers, "cancel_s"));
    if (check.problems.isEmpty() && SafetyBounds.of(times).answerMicros() < LEAST_ANSWER_MICROS) {
      check.problems.add(
          path
              + "workers.cancel_s: must exceed lease_s by 6 s or more,"
              + " or no report could be answered safely");
    }
    int writes = (int) check.positive(path + "state.", state, "txn_ops");
    double valueKb = check.positive(path + "state.", state, "value_kb");
    if (writes < LEAST_WRITES) {
      check.problems.add(path + "state.txn_ops: must be at least " + LEAST_WRITES);
    }
    if (valueKb < LEAST_VALUE_KB) {
      check.problems.add(path + "state.value_kb: must be at least " + LEAST_VALUE_KB);
    }
    return new Deployment(
        check.read(path + "zones", List.<String>of(), () -> in.texts("zones")),
        teams,
        times,
        new Deployment.StateLimits(
            check.positive(path + "state.", state, "rps"),
            check.positive(path + "state.", state, "write_rps"),
            (int) (valueKb * 1024),
            writes),
        new Deployment.CloudLimits(
            check.positive(path + "cloud.", cloud, "rps"),
            check.read(path + "cloud.list_lag_s", 1L, () -> cloud.secondsAsMicros("list_lag_s"))),
        members,
        Math.round(
            check.read(path + "clock_off_ms", 0.0, () -> in.amount("clock_off_ms", 0)) * 1e3),
        check.read(path + "objectives", ServiceLevelObjectives.none(), () -> objectives(in)));
  }

  /** Kinds that say nothing of when a job should start or be complete are left to others. */
  private static ServiceLevelObjectives objectives(Fields deployment)
      throws MalformedMessageException {
    Map<String, Long> waits = new HashMap<>();
    Map<String, List<Long>> finishes = new HashMap<>();
    Map<String, List<Double>> deadlines = new HashMap<>();
    if (deployment.has("objectives")) {
      for (Fields objective : deployment.objects("objectives")) {
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
