package madderrudder.sim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import madderrudder.coordination.policy.Deployment;
import madderrudder.protocol.JobCodec;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;
import madderrudder.transport.HttpCaller;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;

/**
 * Simulated users, who submit jobs, resubmit, poll and cancel them, and ask about jobs that were
 * never submitted, mostly through random controllers. All answers are passed to the {@link
 * InvariantChecker}.
 */
final class SimUsers {
  private static final long POLL_INTERVAL_MICROS = 3_000_000;
  private static final long RETRY_DELAY_MICROS = 1_200_000;
  private static final long POLL_ALL_INTERVAL_MICROS = 10_000_000;
  private static final List<Priority> BATCH_PRIORITIES =
      List.of(Priority.HIGH, Priority.NORMAL, Priority.LOW);

  /** One in so many jobs takes a fraction of a CPU; see {@link #enableFractionalAmounts}. */
  private static final int JOBS_PER_FRACTIONAL_JOB = 4;

  /** Fractions of a CPU that are no whole thousandths. */
  private static final double[] FRACTIONS = {0.0004, 0.03125, 0.3333, 0.7654321};

  /** The team without guaranteed quota. */
  static final String GUEST_TEAM = "duende";

  /** The class of the random jobs of each kind. */
  static final Map<JobKind, String> JOB_CLASSES =
      Map.of(JobKind.SERVICE, "desk", JobKind.GANG, "train", JobKind.ARRAY, "sweep");

  private final SimScheduler scheduler;
  private final InvariantChecker invariants;
  private final Deployment deployment;
  private final HttpCaller httpCaller;
  private final SimScheduler.HostClock clock;
  private final List<String> controllerAddresses;

  /** The largest number of tasks of a random array. */
  private final int maxTasks;

  /** The ids of all jobs submitted so far, without invalid ones. */
  final List<String> submitted = new ArrayList<>();

  private boolean guestAndFailingJobsEnabled;
  private boolean fractionalAmountsEnabled;
  private boolean retriesUnknownCancellations;
  private long pollIntervalMicros = POLL_INTERVAL_MICROS;
  private int jobCount;
  private double cancelAtCompletionRate;
  private long immediatePollsUntilMicros;

  /**
   * The number of jobs cancelled around the end of their last task; see {@link
   * #cancelAtCompletion}.
   */
  int cancelledAtCompletion;

  /** The number of polls by {@link #pollImmediately(long)}. */
  int immediatePolls;

  /** The number of invalid submissions. */
  int invalidRequests;

  SimUsers(
      SimScheduler scheduler,
      SimNetwork network,
      InvariantChecker invariants,
      Deployment deployment,
      Map<String, String> controllerAddresses,
      int maxTasks) {
    this.maxTasks = maxTasks;
    this.scheduler = scheduler;
    this.invariants = invariants;
    this.deployment = deployment;
    this.controllerAddresses = List.copyOf(controllerAddresses.values());
    clock = scheduler.new HostClock(1, 0);
    httpCaller = network.clientOf("users", clock);
    invariants.onJobCompleted = this::onCompletion;
    invariants.onStateConfirmed = this::pollImmediately;
  }

  /**
   * Submits a random job now and then, after {@code everyMicros} on average, until the given time;
   * cancels some of them.
   */
  void submitRandomJobs(long everyMicros, long untilMicros) {
    clock.runAfter(
        scheduler.random.nextLong(2 * everyMicros),
        () -> {
          if (scheduler.nowMicros < untilMicros) {
            JobSpec job = randomJob();
            invariants.jobSubmitted(job);
            if (guestAndFailingJobsEnabled && scheduler.chance(0.06)) {
              invariants.failingJobs.add(job.id());
              clock.runAfter(
                  30_000_000 + scheduler.random.nextLong(90_000_000), () -> cancel(job.id()));
            }
            submitted.add(job.id());
            submit(job);
            // Cancels every service at some time, since services don't end by themselves and would
            // fill the limit of each team, so that no further job could be served.
            if (job.kind() == JobKind.SERVICE || scheduler.chance(0.3)) {
              clock.runAfter(
                  scheduler.random.nextLong(
                      job.kind() == JobKind.SERVICE ? 120_000_000 : 60_000_000),
                  () -> cancel(job.id()));
            }
            if (scheduler.chance(0.2)) {
              query("req-" + (900_000 + jobCount));
            }
            submitRandomJobs(everyMicros, untilMicros);
          }
        });
  }

  /** Cancels all jobs that have not ended, and retries until each cancellation is confirmed. */
  void cancelAll() {
    retryUnknownCancellations();
    submitted.stream().filter(job -> !invariants.isFinished(job)).forEach(this::cancel);
  }

  /**
   * Cancels up to {@code max} live jobs that have tasks on workers, services first, and returns
   * their ids.
   */
  List<String> cancelRunning(int max) {
    List<String> cancelled = runningJobs(max);
    cancelled.forEach(this::cancel);
    return cancelled;
  }

  /**
   * Like {@link #cancelRunning}, but cancels each job at a random moment within the next 200 ms.
   */
  List<String> cancelRunningStaggered(int max) {
    List<String> cancelled = runningJobs(max);
    cancelled.forEach(job -> clock.runAfter(scheduler.random.nextLong(200_000), () -> cancel(job)));
    return cancelled;
  }

  /** Like {@link #cancelRunning}, but through the given controller. */
  void cancelRunningThrough(String address, int max) {
    runningJobs(max)
        .forEach(
            job -> cancel(job, "10.0.0." + (1 + Integer.parseInt(address.substring(5))) + ":8080"));
  }

  private List<String> runningJobs(int max) {
    return submitted.stream()
        .filter(
            job ->
                invariants.isLive(job)
                    && invariants.heldTasks().stream().anyMatch(task -> task.job().equals(job)))
        .sorted(Comparator.comparing(job -> invariants.specOf(job).kind() != JobKind.SERVICE))
        .limit(max)
        .toList();
  }

  /**
   * For the given time, cancels, resubmits and polls this share of the jobs that complete, through
   * every controller and within 0.8 s of their completion.
   */
  void cancelAtCompletion(double share, long durationMicros) {
    cancelAtCompletionRate = share;
    clock.runAfter(durationMicros, () -> cancelAtCompletionRate = 0);
  }

  private void onCompletion(String job) {
    if (cancelAtCompletionRate > 0 && scheduler.chance(cancelAtCompletionRate)) {
      cancelledAtCompletion++;
      for (String address : controllerAddresses) {
        long delayMicros = scheduler.random.nextLong(700_000);
        clock.runAfter(delayMicros, () -> cancel(job, address));
        clock.runAfter(delayMicros + scheduler.random.nextLong(60_000), () -> query(job, address));
        clock.runAfter(scheduler.random.nextLong(700_000), () -> resubmit(job, address));
      }
    }
  }

  /**
   * For the given time, polls each job through every controller within 40 ms after a user is first
   * told of its state, and resubmits it; cancels some of these jobs.
   */
  void pollImmediately(long durationMicros) {
    immediatePollsUntilMicros = scheduler.nowMicros + durationMicros;
  }

  private void pollImmediately(String job) {
    if (scheduler.nowMicros >= immediatePollsUntilMicros) {
      return;
    }
    for (String address : controllerAddresses) {
      for (int i = 0; i < 3; i++) {
        immediatePolls++;
        clock.runAfter(scheduler.random.nextLong(40_000), () -> query(job, address));
      }
      clock.runAfter(scheduler.random.nextLong(40_000), () -> resubmit(job, address));
    }
    if (scheduler.chance(0.15)) {
      clock.runAfter(scheduler.random.nextLong(40_000), () -> cancel(job));
    }
  }

  /**
   * For the given time, resubmits live jobs, cancels ended ones, and submits jobs that fit no
   * machine or have a missing or invalid field.
   */
  void sendInvalidRequests(long durationMicros) {
    long untilMicros = scheduler.nowMicros + durationMicros;
    clock.runAfter(
        200_000,
        () -> {
          String job = submitted.get(scheduler.random.nextInt(submitted.size()));
          if (invariants.isLive(job)) {
            resubmit(job, randomControllerAddress());
          } else if (invariants.isFinished(job)) {
            cancel(job);
          }
          submitInvalidJob();
          if (scheduler.nowMicros < untilMicros) {
            sendInvalidRequests(untilMicros - scheduler.nowMicros);
          }
        });
  }

  private void submitInvalidJob() {
    invalidRequests++;
    JobSpec job = randomJob();
    String id = "req-" + (800_000_000 + invalidRequests);
    String valid =
        new String(Json.object(out -> JobCodec.write(out, job)), StandardCharsets.UTF_8)
            .replace(job.id(), id);
    String invalid = InvalidJobs.from(valid, scheduler.random);
    String address = randomControllerAddress();
    httpCaller.call(
        address,
        HttpRequest.post("/v1/jobs", invalid.getBytes(StandardCharsets.UTF_8)),
        5_000_000,
        response -> {
          invariants.invalidRequestAnswered(invalid, response.status());
          query(id);
        });
  }

  /** From now on, the guest team submits jobs too, and some jobs fail on every machine. */
  void enableGuestAndFailingJobs() {
    guestAndFailingJobsEnabled = true;
  }

  /** From now on, tasks of some jobs take amounts with more digits than thousandths. */
  void enableFractionalAmounts() {
    fractionalAmountsEnabled = true;
  }

  /**
   * From now on, users retry a cancellation until it is confirmed, even if the answer is that the
   * job is unknown.
   */
  void retryUnknownCancellations() {
    retriesUnknownCancellations = true;
  }

  /** Divides the polling interval of all users by the factor for the given time. */
  void pollMoreOften(int factor, long durationMicros) {
    pollIntervalMicros = POLL_INTERVAL_MICROS / factor;
    clock.runAfter(durationMicros, () -> pollIntervalMicros = POLL_INTERVAL_MICROS);
  }

  /** Polls all submitted jobs every ten seconds from now on, also those that have ended. */
  void pollAllJobs() {
    submitted.forEach(this::query);
    clock.runAfter(POLL_ALL_INTERVAL_MICROS, this::pollAllJobs);
  }

  /** Submits the given job, in addition to the random ones. */
  void submitJob(JobSpec job) {
    invariants.jobSubmitted(job);
    submitted.add(job.id());
    submit(job);
  }

  private JobSpec randomJob() {
    JobKind kind =
        switch (scheduler.random.nextInt(10)) {
          case 0, 1, 2 -> JobKind.SERVICE;
          case 3, 4 -> JobKind.GANG;
          default -> JobKind.ARRAY;
        };
    List<String> teams =
        deployment.teams().keySet().stream()
            .filter(team -> guestAndFailingJobsEnabled || !team.equals(GUEST_TEAM))
            .toList();
    Priority priority =
        kind == JobKind.SERVICE
            ? Priority.PRODUCTION
            : BATCH_PRIORITIES.get(scheduler.random.nextInt(BATCH_PRIORITIES.size()));
    // A task of a gang takes all CPUs of a small machine.
    double cpus = kind == JobKind.GANG ? 4 : 1 + scheduler.random.nextInt(4);
    if (fractionalAmountsEnabled
        && kind != JobKind.GANG
        && jobCount % JOBS_PER_FRACTIONAL_JOB == 0) {
      cpus += FRACTIONS[jobCount / JOBS_PER_FRACTIONAL_JOB % FRACTIONS.length] - 1;
    }
    return new JobSpec(
        String.format("req-%06d", jobCount++),
        JOB_CLASSES.get(kind),
        teams.get(scheduler.random.nextInt(teams.size())),
        kind,
        priority,
        1 + scheduler.random.nextInt(maxTasksOf(kind)),
        Resources.of(cpus, 0, cpus * 2),
        "img-" + scheduler.random.nextInt(4),
        1.0,
        null,
        scheduler.chance(0.1) ? deployment.zones().get(0) : null,
        kind == JobKind.GANG && scheduler.chance(0.3),
        kind == JobKind.SERVICE,
        kind != JobKind.SERVICE && scheduler.chance(0.6),
        8_000_000,
        0,
        0,
        0);
  }

  private int maxTasksOf(JobKind kind) {
    return switch (kind) {
      case SERVICE -> 4;
      case GANG -> 3;
      case ARRAY -> maxTasks;
    };
  }

  private String randomControllerAddress() {
    return controllerAddresses.get(scheduler.random.nextInt(controllerAddresses.size()));
  }

  private void callRandomController(
      HttpRequest request, long timeoutMicros, Consumer<HttpResponse> answer) {
    httpCaller.call(randomControllerAddress(), request, timeoutMicros, answer);
  }

  /** Submits a known job again, without a retry. */
  private void resubmit(String job, String address) {
    byte[] body = Json.object(out -> JobCodec.write(out, invariants.specOf(job)));
    long requestedAtMicros = scheduler.nowMicros;
    httpCaller.call(
        address,
        HttpRequest.post("/v1/jobs", body),
        5_000_000,
        response ->
            invariants.jobAnswered(
                job, response.status(), stateIn(response), true, requestedAtMicros));
  }

  /** Submits the job and retries until it is accepted; then polls it or submits it again. */
  private void submit(JobSpec job) {
    byte[] body = Json.object(out -> JobCodec.write(out, job));
    long requestedAtMicros = scheduler.nowMicros;
    callRandomController(
        HttpRequest.post("/v1/jobs", body),
        5_000_000,
        response -> {
          invariants.jobAnswered(
              job.id(), response.status(), stateIn(response), true, requestedAtMicros);
          if (response.status() == 200 || response.status() == 201) {
            if (scheduler.chance(0.2)) {
              clock.runAfter(scheduler.random.nextLong(90_000_000), () -> submit(job));
            } else {
              poll(job.id());
            }
          } else {
            clock.runAfter(RETRY_DELAY_MICROS, () -> submit(job));
          }
        });
  }

  private void poll(String job) {
    query(job);
    // Some polling continues after the job has ended, to check that its final state does not
    // change.
    if (!invariants.isFinished(job) || scheduler.chance(0.7)) {
      clock.runAfter(pollIntervalMicros, () -> poll(job));
    }
  }

  private void query(String job) {
    query(job, randomControllerAddress());
  }

  private void query(String job, String address) {
    long requestedAtMicros = scheduler.nowMicros;
    httpCaller.call(
        address,
        HttpRequest.get("/v1/jobs/" + job),
        2_000_000,
        response ->
            invariants.jobAnswered(
                job, response.status(), stateIn(response), false, requestedAtMicros));
  }

  /** Cancels the job through a random controller, with retries. */
  void cancel(String job) {
    cancel(job, randomControllerAddress());
  }

  private void cancel(String job, String address) {
    invariants.cancellationRequested(job);
    long requestedAtMicros = scheduler.nowMicros;
    httpCaller.call(
        address,
        HttpRequest.post("/v1/jobs/" + job + "/withdraw", new byte[0]),
        5_000_000,
        response -> {
          // Status 404 is correct as long as the submission of the job has not been accepted.
          if (response.status() == 200) {
            invariants.jobAnswered(job, 200, stateIn(response), false, requestedAtMicros);
          } else if (response.status() != 404 || retriesUnknownCancellations) {
            clock.runAfter(RETRY_DELAY_MICROS, () -> cancel(job));
          }
        });
  }

  /** The state in a successful answer, or an empty text if the request failed. */
  private static String stateIn(HttpResponse response) {
    try {
      JsonFields in =
          response.status() == 200 || response.status() == 201
              ? Json.readObject(response.body())
              : null;
      return in == null ? "" : in.text("trim");
    } catch (MalformedMessageException e) {
      throw new AssertionError("a user received a malformed answer", e);
    }
  }
}
