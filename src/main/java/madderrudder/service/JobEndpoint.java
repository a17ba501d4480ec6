package madderrudder.service;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import madderrudder.coordination.cloud.MachineTypeCatalog;
import madderrudder.coordination.policy.Deployment;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.metrics.Metrics;
import madderrudder.metrics.Metrics.Timing;
import madderrudder.persistence.JobRecords;
import madderrudder.persistence.Keys;
import madderrudder.persistence.StoreClient;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.JobCodec;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.JobState;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.PeerMessage.JobProgress;
import madderrudder.protocol.StoreCodec.Condition;
import madderrudder.protocol.StoreCodec.Write;
import madderrudder.transport.HttpResponse;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The job API for users: submit, status and cancel. Every controller serves it in the same way. A
 * submission is idempotent: the compare-and-swap that writes the job requires that the store has no
 * record of its id. Confined to the event loop thread.
 */
final class JobEndpoint {
  private static final Logger LOG = LoggerFactory.getLogger(JobEndpoint.class);

  /** The store allows this many times as many conditions as writes in a transaction. */
  private static final int CONDITIONS_PER_WRITE = 4;

  private static final int MAX_CANCEL_ATTEMPTS = 4;
  private static final String STORE_UNRESPONSIVE = "the store does not answer";
  private static final String NO_SUCH_JOB = "no such job";

  private final Scheduler scheduler;
  private final StoreClient store;
  private final MachineTypeCatalog catalog;
  private final Map<String, TeamQuota> quotas;
  private final int maxRecordBytes;
  private final Function<String, Optional<JobProgress>> jobProgress;
  private final Metrics metrics;
  private final JobReader jobReader;
  private final RetryAfterPolicy retryAfterPolicy = new RetryAfterPolicy();

  /**
   * Creates the endpoint.
   *
   * @param jobProgress returns a job's progress by its id; empty if it is not known
   * @param metrics where the durations of submissions are recorded
   */
  JobEndpoint(
      Scheduler scheduler,
      StoreClient store,
      MachineTypeCatalog catalog,
      Deployment deployment,
      Function<String, Optional<JobProgress>> jobProgress,
      Metrics metrics) {
    this.scheduler = scheduler;
    this.store = store;
    this.catalog = catalog;
    this.jobProgress = jobProgress;
    this.metrics = metrics;
    quotas = deployment.teams();
    Deployment.StateLimits limits = deployment.state();
    maxRecordBytes = limits.valueBytes();
    jobReader = new JobReader(store, CONDITIONS_PER_WRITE * limits.transactionWrites());
  }

  /**
   * Handles the submission of a job. The status is 201 if the job is new, 200 if it was accepted
   * before, 400 if it is malformed or too large, 422 if it can never run, and 503 if the machine
   * types are not known yet or the store can't be read or written now.
   */
  void submit(byte[] body, Consumer<HttpResponse> callback) {
    long startMicros = scheduler.nowMicros();
    decodeAndAdmit(
        body,
        response -> {
          long elapsedMicros = scheduler.nowMicros() - startMicros;
          metrics.record(Timing.SUBMISSION, elapsedMicros);
          LOG.debug(
              "job submission answered with status {} after {} ms",
              response.status(),
              elapsedMicros / 1000);
          callback.accept(response);
        });
  }

  private void decodeAndAdmit(byte[] body, Consumer<HttpResponse> callback) {
    JsonFields fields;
    String id;
    try {
      fields = Json.readObject(body);
      id = JobCodec.readId(fields);
    } catch (MalformedMessageException e) {
      callback.accept(Responses.error(400, e.getMessage()));
      return;
    }
    JobSpec job;
    try {
      job = JobCodec.read(fields);
    } catch (MalformedMessageException e) {
      rejectUnlessStored(id, Responses.error(400, e.getMessage()), callback);
      return;
    }
    admit(id, job, callback);
  }

  private void admit(String id, JobSpec job, Consumer<HttpResponse> callback) {
    if (!catalog.hasTypes()) {
      rejectUnlessStored(
          id, Responses.unavailable("the machine types are not known yet"), callback);
      return;
    }
    Optional<RejectionReason> reason =
        JobAdmission.rejectionReason(job, quotas, catalog.types().values());
    if (reason.isPresent()) {
      rejectUnlessStored(id, Responses.error(422, reason.get().text()), callback);
      return;
    }
    byte[] record = JobRecords.encodeLive(job, scheduler.wallClockMicros());
    if (record.length > maxRecordBytes) {
      rejectUnlessStored(id, Responses.error(400, "the job is too large to be kept"), callback);
      return;
    }
    storeJob(id, record, callback);
  }

  /**
   * Responds with the rejection, unless the store has a job of this id: then with that job's state,
   * whatever the repeated submission contains. The status is 503 if the store does not respond.
   */
  private void rejectUnlessStored(
      String id, HttpResponse rejectionResponse, Consumer<HttpResponse> callback) {
    jobReader.find(
        id,
        lookup -> {
          if (lookup instanceof JobLookup.Unknown) {
            callback.accept(Responses.unavailable(STORE_UNRESPONSIVE));
          } else if (lookup instanceof JobLookup.Absent) {
            callback.accept(rejectionResponse);
          } else {
            callback.accept(stateResponse(id, lookup));
          }
        });
  }

  /**
   * Writes the job by a compare-and-swap, on the condition that it is neither live nor finished.
   */
  private void storeJob(String id, byte[] record, Consumer<HttpResponse> callback) {
    store.commit(
        List.of(new Condition(Keys.live(id), 0), new Condition(Keys.finished(id), 0)),
        List.of(Write.put(Keys.live(id), record)),
        reply -> {
          if (reply.is(Outcome.OK)) {
            callback.accept(HttpResponse.of(201, JobCodec.stateResponse(id, JobState.PENDING)));
          } else if (reply.is(Outcome.CONFLICT)) {
            rejectUnlessStored(id, Responses.unavailable("the job's state is changing"), callback);
          } else {
            callback.accept(writeFailedResponse());
          }
        });
  }

  /**
   * Handles the query of a job's status: 200 with its state and progress, 404 if there is no such
   * job, 503 if the store does not respond.
   */
  void status(String id, Consumer<HttpResponse> callback) {
    if (!JobCodec.isValidId(id)) {
      callback.accept(Responses.error(404, NO_SUCH_JOB));
      return;
    }
    jobReader.find(id, lookup -> callback.accept(statusResponse(id, lookup)));
  }

  private HttpResponse statusResponse(String id, JobLookup lookup) {
    if (lookup instanceof JobLookup.Finished finished) {
      JobRecords.Finished result = finished.result();
      return HttpResponse.of(200, JobCodec.statusResponse(id, result.state(), result.done(), 0));
    }
    if (lookup instanceof JobLookup.Live live) {
      Optional<JobProgress> progress = jobProgress.apply(id);
      int tasks = live.job().spec().tasks();
      int done = Math.min(progress.map(JobProgress::done).orElse(0), tasks);
      int running = progress.map(JobProgress::running).orElse(0);
      return HttpResponse.of(200, JobCodec.statusResponse(id, stateOfLiveJob(id), done, running));
    }
    return notFoundOrUnavailable(lookup);
  }

  /**
   * Handles the cancellation of a job: 200 with its final state, which may be another than
   * cancelled if the job had finished before; 404 if there is no such job; 503 if the store does
   * not respond, does not confirm the write, or reports a conflict at each attempt.
   */
  void cancel(String id, Consumer<HttpResponse> callback) {
    if (!JobCodec.isValidId(id)) {
      callback.accept(Responses.error(404, NO_SUCH_JOB));
      return;
    }
    cancel(id, MAX_CANCEL_ATTEMPTS, callback);
  }

  private void cancel(String id, int attemptsLeft, Consumer<HttpResponse> callback) {
    jobReader.find(
        id,
        lookup -> {
          if (attemptsLeft == 0) {
            callback.accept(Responses.unavailable(STORE_UNRESPONSIVE));
          } else if (lookup instanceof JobLookup.Finished) {
            callback.accept(stateResponse(id, lookup));
          } else if (lookup instanceof JobLookup.Live live) {
            writeCancellation(id, live, attemptsLeft, callback);
          } else {
            callback.accept(notFoundOrUnavailable(lookup));
          }
        });
  }

  /**
   * Moves the job from live to finished by a compare-and-swap on the version that was read. After a
   * conflict, the cancellation starts again from the lookup.
   */
  private void writeCancellation(
      String id, JobLookup.Live live, int attemptsLeft, Consumer<HttpResponse> callback) {
    int done = jobProgress.apply(id).map(JobProgress::done).orElse(0);
    JobRecords.Finished result = new JobRecords.Finished(JobState.CANCELLED, done);
    List<Write> writes =
        List.of(
            Write.delete(Keys.live(id)),
            Write.put(Keys.finished(id), JobRecords.encodeFinished(result.state(), result.done())));
    store.commit(
        List.of(new Condition(Keys.live(id), live.version())),
        writes,
        reply -> {
          if (reply.is(Outcome.OK)) {
            jobReader.cacheFinished(id, result);
            callback.accept(HttpResponse.of(200, JobCodec.stateResponse(id, JobState.CANCELLED)));
          } else if (reply.is(Outcome.CONFLICT)) {
            cancel(id, attemptsLeft - 1, callback);
          } else {
            callback.accept(writeFailedResponse());
          }
        });
  }

  /** Status 200 with the state of a job that is live or finished. */
  private HttpResponse stateResponse(String id, JobLookup lookup) {
    JobState state =
        lookup instanceof JobLookup.Finished finished
            ? finished.result().state()
            : stateOfLiveJob(id);
    return HttpResponse.of(200, JobCodec.stateResponse(id, state));
  }

  private JobState stateOfLiveJob(String id) {
    boolean running = jobProgress.apply(id).map(JobProgress::running).orElse(0) > 0;
    return running ? JobState.RUNNING : JobState.PENDING;
  }

  /** Status 404 if the job is absent, 503 if the store did not respond. */
  private static HttpResponse notFoundOrUnavailable(JobLookup lookup) {
    return lookup instanceof JobLookup.Absent
        ? Responses.error(404, NO_SUCH_JOB)
        : Responses.unavailable(STORE_UNRESPONSIVE);
  }

  /**
   * Status 503 for a user's write that the store has not confirmed, because it did not respond or
   * its rate limit is reached. Retry-After is chosen by the {@link RetryAfterPolicy}.
   */
  private HttpResponse writeFailedResponse() {
    int retryAfterSeconds =
        retryAfterPolicy.chooseDelaySeconds(scheduler.nowMicros(), store.userWritesPerSecond());
    return new HttpResponse(503, Json.error(STORE_UNRESPONSIVE), retryAfterSeconds, false);
  }
}
