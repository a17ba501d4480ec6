package madderrudder.sim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import madderrudder.coordination.policy.Deployment;
import madderrudder.protocol.Fields;
import madderrudder.protocol.JobCodec;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;
import madderrudder.transport.HttpCaller;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;

/**
 * Users who submit, repeat, poll, cancel, and ask about jobs that nobody submitted, each time of
 * any node.
 */
final class SimUsers {
  private static final long POLL_MICROS = 3_000_000;
  private static final long RETRY_MICROS = 1_200_000;
  private static final long ASK_ALL_MICROS = 10_000_000;
  private static final List<Priority> ORDINARY_PRIORITIES =
      List.of(Priority.HIGH, Priority.NORMAL, Priority.LOW);
  static final String GUEST = "duende";

  /** What the users call each kind of their jobs. */
  static final Map<JobKind, String> CLASSES =
      Map.of(JobKind.SERVICE, "desk", JobKind.GANG, "train", JobKind.ARRAY, "sweep");

  private final Sim sim;
  private final Rules rules;
  private final Deployment deployment;
  private final HttpCaller calls;
  private final Sim.Host clock;
  private final List<String> nodes;
  private final int mostTasks;
  final List<String> submitted = new ArrayList<>();
  private boolean visitors;
  private boolean insistent;
  private long pollMicros = POLL_MICROS;
  private int count;
  private double cancelAtEnd;
  private long looksUntilMicros;

  /**
   * Jobs cancelled at the moment at which their last task ended; questions asked close to what
   * users were told; odd requests.
   */
  int cancelledAtEnd;

  int closeLooks;
  int oddRequests;

  SimUsers(
      Sim sim,
      SimNet net,
      Rules rules,
      Deployment deployment,
      Map<String, String> nodes,
      int mostTasks) {
    this.mostTasks = mostTasks;
    this.sim = sim;
    this.rules = rules;
    this.deployment = deployment;
    this.nodes = List.copyOf(nodes.values());
    clock = sim.new Host(1, 0);
    calls = net.callsFrom("users", clock);
    rules.onEnd = this::ends;
    rules.onNews = this::lookClosely;
  }

  void begin(long everyMicros, long untilMicros) {
    clock.after(
        sim.random.nextLong(2 * everyMicros),
        () -> {
          if (sim.nowMicros < untilMicros) {
            JobSpec job = randomJob();
            rules.submits(job);
            if (visitors && sim.chance(0.06)) {
              rules.mistaken.add(job.id());
              clock.after(30_000_000 + sim.random.nextLong(90_000_000), () -> withdraw(job.id()));
            }
            submitted.add(job.id());
            submit(job);
            // Services would fill each team's limit in time, so that nothing more of them could be
            // served.
            if (job.kind() == JobKind.SERVICE || sim.chance(0.3)) {
              clock.after(
                  sim.random.nextLong(job.kind() == JobKind.SERVICE ? 120_000_000 : 60_000_000),
                  () -> withdraw(job.id()));
            }
            if (sim.chance(0.2)) {
              ask("req-" + (900_000 + count));
            }
            begin(everyMicros, untilMicros);
          }
        });
  }

  /** From now on everything that is not over gets cancelled, services above all. */
  void cancelEverything() {
    insist();
    submitted.stream().filter(job -> !rules.finished(job)).forEach(this::withdraw);
  }

  /** So many of the jobs that have tasks somewhere are cancelled, those that would run on first. */
  List<String> cancelSome(int most) {
    List<String> cancelled = running(most);
    cancelled.forEach(this::withdraw);
    return cancelled;
  }

  /** The same, within a fifth of a second. */
  List<String> cancelNow(int most) {
    List<String> cancelled = running(most);
    cancelled.forEach(job -> clock.after(sim.random.nextLong(200_000), () -> withdraw(job)));
    return cancelled;
  }

  /** The same, at once, and through the controller named. */
  void cancelSomeAt(String node, int most) {
    running(most)
        .forEach(
            job -> withdraw(job, "10.0.0." + (1 + Integer.parseInt(node.substring(5))) + ":8080"));
  }

  void cancel(String job) {
    withdraw(job);
  }

  private List<String> running(int most) {
    return submitted.stream()
        .filter(
            job ->
                rules.isLive(job) && rules.held().stream().anyMatch(task -> task.job().equals(job)))
        .sorted(Comparator.comparing(job -> rules.spec(job).kind() != JobKind.SERVICE))
        .limit(most)
        .toList();
  }

  /**
   * Of the jobs that end this share is called off, submitted again and asked about at the moment of
   * the end.
   */
  void cancelAtEnd(double share, long forMicros) {
    cancelAtEnd = share;
    clock.after(forMicros, () -> cancelAtEnd = 0);
  }

  private void ends(String job) {
    if (cancelAtEnd > 0 && sim.chance(cancelAtEnd)) {
      cancelledAtEnd++;
      for (String node : nodes) {
        long around = sim.random.nextLong(700_000);
        clock.after(around, () -> withdraw(job, node));
        clock.after(around + sim.random.nextLong(60_000), () -> ask(job, node));
        clock.after(sim.random.nextLong(700_000), () -> submitOnce(job, node));
      }
    }
  }

  /**
   * Whatever a user is told is asked of every node again within milliseconds, and submitted again;
   * some of it is called off.
   */
  void lookClosely(long forMicros) {
    looksUntilMicros = sim.nowMicros + forMicros;
  }

  private void lookClosely(String job) {
    if (sim.nowMicros >= looksUntilMicros) {
      return;
    }
    for (String node : nodes) {
      for (int look = 0; look < 3; look++) {
        closeLooks++;
        clock.after(sim.random.nextLong(40_000), () -> ask(job, node));
      }
      clock.after(sim.random.nextLong(40_000), () -> submitOnce(job, node));
    }
    if (sim.chance(0.15)) {
      clock.after(sim.random.nextLong(40_000), () -> withdraw(job));
    }
  }

  /**
   * Users submit again what is not over, call off what is done, and send jobs that fit no machine
   * or lack a field, or have one that is wrong.
   */
  void askOddly(long forMicros) {
    long untilMicros = sim.nowMicros + forMicros;
    clock.after(
        200_000,
        () -> {
          String known = submitted.get(sim.random.nextInt(submitted.size()));
          if (rules.isLive(known)) {
            submitOnce(known, anyNode());
          } else if (rules.finished(known)) {
            withdraw(known);
          }
          sendWrong();
          if (sim.nowMicros < untilMicros) {
            askOddly(untilMicros - sim.nowMicros);
          }
        });
  }

  private void sendWrong() {
    oddRequests++;
    JobSpec job = randomJob();
    String id = "req-" + (800_000_000 + oddRequests);
    String good =
        new String(Json.object(out -> JobCodec.write(out, job)), StandardCharsets.UTF_8)
            .replace(job.id(), id);
    String bad = WrongJobs.of(good, sim.random);
    String node = anyNode();
    calls.call(
        node,
        HttpRequest.post("/v1/jobs", bad.getBytes(StandardCharsets.UTF_8)),
        5_000_000,
        response -> {
          rules.toldOfWrong(bad, response.status());
          ask(id);
        });
  }

  /** From now on a team without a guarantee has jobs too, and some jobs have a mistake in them. */
  void visitors() {
    visitors = true;
  }

  /**
   * From now on users ask until what they call off is called off, also if it was unknown at first.
   */
  void insist() {
    insistent = true;
  }

  /** Everybody asks so many times as often for a while. */
  void askOften(int factor, long forMicros) {
    pollMicros = POLL_MICROS / factor;
    clock.after(forMicros, () -> pollMicros = POLL_MICROS);
  }

  /** From now on all jobs are asked about, again and again, also those that are over. */
  void askAboutAll() {
    submitted.forEach(this::ask);
    clock.after(ASK_ALL_MICROS, this::askAboutAll);
  }

  /** One more job, of the users' own making. */
  void bring(JobSpec job) {
    rules.submits(job);
    submitted.add(job.id());
    submit(job);
  }

  private JobSpec randomJob() {
    JobKind kind =
        switch (sim.random.nextInt(10)) {
          case 0, 1, 2 -> JobKind.SERVICE;
          case 3, 4 -> JobKind.GANG;
          default -> JobKind.ARRAY;
        };
    List<String> teams =
        deployment.teams().keySet().stream()
            .filter(team -> visitors || !team.equals(GUEST))
            .toList();
    Priority priority =
        kind == JobKind.SERVICE
            ? Priority.PRODUCTION
            : ORDINARY_PRIORITIES.get(sim.random.nextInt(ORDINARY_PRIORITIES.size()));
    // A gang's task may take all of a small machine.
    double cpus = kind == JobKind.GANG ? 4 : 1 + sim.random.nextInt(4);
    return new JobSpec(
        String.format("req-%06d", count++),
        CLASSES.get(kind),
        teams.get(sim.random.nextInt(teams.size())),
        kind,
        priority,
        1 + sim.random.nextInt(kind == JobKind.SERVICE ? 4 : kind == JobKind.GANG ? 3 : mostTasks),
        Resources.of(cpus, 0, cpus * 2),
        "img-" + sim.random.nextInt(4),
        1.0,
        null,
        sim.chance(0.1) ? deployment.zones().get(0) : null,
        kind == JobKind.GANG && sim.chance(0.3),
        kind == JobKind.SERVICE,
        kind != JobKind.SERVICE && sim.chance(0.6),
        8_000_000,
        0,
        0,
        0);
  }

  private String anyNode() {
    return nodes.get(sim.random.nextInt(nodes.size()));
  }

  private void call(
      HttpRequest request, long timeoutMicros, java.util.function.Consumer<HttpResponse> answer) {
    calls.call(anyNode(), request, timeoutMicros, answer);
  }

  /** Submits again what was submitted before. */
  private void submitOnce(String job, String node) {
    byte[] body = Json.object(out -> JobCodec.write(out, rules.spec(job)));
    long askedMicros = sim.nowMicros;
    calls.call(
        node,
        HttpRequest.post("/v1/jobs", body),
        5_000_000,
        response -> rules.told(job, response.status(), state(response), true, askedMicros));
  }

  private void submit(JobSpec job) {
    byte[] body = Json.object(out -> JobCodec.write(out, job));
    long askedMicros = sim.nowMicros;
    call(
        HttpRequest.post("/v1/jobs", body),
        5_000_000,
        response -> {
          rules.told(job.id(), response.status(), state(response), true, askedMicros);
          if (response.status() == 200 || response.status() == 201) {
            if (sim.chance(0.2)) {
              clock.after(sim.random.nextLong(90_000_000), () -> submit(job));
            } else {
              poll(job.id());
            }
          } else {
            clock.after(RETRY_MICROS, () -> submit(job));
          }
        });
  }

  private void poll(String job) {
    ask(job);
    // Goes on for a while after the end, since the end must stay what it was.
    if (!rules.finished(job) || sim.chance(0.7)) {
      clock.after(pollMicros, () -> poll(job));
    }
  }

  private void ask(String job) {
    ask(job, anyNode());
  }

  private void ask(String job, String node) {
    long askedMicros = sim.nowMicros;
    calls.call(
        node,
        HttpRequest.get("/v1/jobs/" + job),
        2_000_000,
        response -> rules.told(job, response.status(), state(response), false, askedMicros));
  }

  private void withdraw(String job) {
    withdraw(job, anyNode());
  }

  private void withdraw(String job, String node) {
    rules.asksToCancel(job);
    long askedMicros = sim.nowMicros;
    calls.call(
        node,
        HttpRequest.post("/v1/jobs/" + job + "/withdraw", new byte[0]),
        5_000_000,
        response -> {
          // Before its submission got through, a job is rightly unknown.
          if (response.status() == 200) {
            rules.told(job, 200, state(response), false, askedMicros);
          } else if (response.status() != 404 || insistent) {
            clock.after(RETRY_MICROS, () -> withdraw(job));
          }
        });
  }

  private static String state(HttpResponse response) {
    try {
      Fields in =
          response.status() == 200 || response.status() == 201
              ? Json.readObject(response.body())
              : null;
      return in == null ? "" : in.text("trim");
    } catch (MalformedMessageException e) {
      throw new AssertionError("a user got nonsense", e);
    }
  }
}
