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
 * The users' job API, served alike by every controller: submit, status and cancel. A submission is
 * idempotent, by a compare-and-swap on the job's absence. Confined to the event loop thread.
 */
final class JobEndpoint {
  private static final Logger LOG = LoggerFactory.getLogger(JobEndpoint.class);

  /** The store takes this many conditions for each write that it allows in a transaction. */
  private static final int CONDITIONS_PER_WRITE = 4;

  private static final int MAX_CANCEL_TRIES = 4;
  private static final String STORE_SILENT = "the store does not answer";
  private static final String NO_SUCH_JOB = "no such job";

  private final Scheduler scheduler;
  private final StoreClient store;
  private final MachineTypeCatalog catalog;
  private final Map<String, TeamQuota> teams;
  private final int maxRecordBytes;
  private final Function<String, Optional<JobProgress>> progress;
  private final Metrics metrics;
  private final JobReader reader;
  private final RetryAfterPolicy retryAfter = new RetryAfterPolicy();

  /**
   * Creates the endpoint.
   *
   * @param progress a job's progress by its id; empty where it is not known
   * @param metrics where the times of submissions are recorded
   */
  JobEndpoint(
      Scheduler scheduler,
      StoreClient store,
      MachineTypeCatalog catalog,
      Deployment deployment,
      Function<String, Optional<JobProgress>> progress,
      Metrics metrics) {
    this.scheduler = scheduler;
    this.store = store;
    this.catalog = catalog;
    this.progress = progress;
    this.metrics = metrics;
    teams = deployment.teams();
    Deployment.StateLimits limits = deployment.state();
    maxRecordBytes = limits.valueBytes();
    reader = new JobReader(store, CONDITIONS_PER_WRITE * limits.transactionWrites());
  }

  /**
   * Accepts a job: 201 if it is new, 200 if it was accepted before, 400 if it is malformed, 422 if
   * it can never run, and 503 if that can't be said or stored now.
   */
  void submit(byte[] body, Consumer<HttpResponse> answer) {
    long beginMicros = scheduler.nowMicros();
    validate(
        body,
        response -> {
          long tookMicros = scheduler.nowMicros() - beginMicros;
          metrics.record(Timing.SUBMISSION, tookMicros);
          LOG.debug(
              "a submission was answered {} after {} ms", response.status(), tookMicros / 1000);
          answer.accept(response);
        });
  }

  private void validate(byte[] body, Consumer<HttpResponse> answer) {
    JsonFields fields;
    String id;
    try {
      fields = Json.readObject(body);
      id = JobCodec.readId(fields);
    } catch (MalformedMessageException e) {
      answer.accept(Responses.error(400, e.getMessage()));
      return;
    }
    JobSpec job;
    try {
      job = JobCodec.read(fields);
    } catch (MalformedMessageException e) {
      refuseUnlessKnown(id, Responses.error(400, e.getMessage()), answer);
      return;
    }
    admit(id, job, answer);
  }

  private void admit(String id, JobSpec job, Consumer<HttpResponse> answer) {
    if (!catalog.known()) {
      refuseUnlessKnown(id, Responses.unavailable("the machine types are not known yet"), answer);
      return;
    }
    Optional<RejectionReason> rejection =
        JobAdmission.rejection(job, teams, catalog.types().values());
    if (rejection.isPresent()) {
      refuseUnlessKnown(id, Responses.error(422, rejection.get().text()), answer);
      return;
    }
    byte[] record = JobRecords.live(job, scheduler.wallMicros());
    if (record.length > maxRecordBytes) {
      refuseUnlessKnown(id, Responses.error(400, "the job is too large to be kept"), answer);
      return;
    }
    store(id, record, answer);
  }

  /** A known job is answered as known, whatever the repeated submission looks like. */
  private void refuseUnlessKnown(String id, HttpResponse refusal, Consumer<HttpResponse> answer) {
    reader.find(
        id,
        job -> {
          if (job instanceof JobLookup.Unknown) {
            answer.accept(Responses.unavailable(STORE_SILENT));
          } else if (job instanceof JobLookup.Absent) {
            answer.accept(refusal);
          } else {
            answer.accept(currentState(id, job));
          }
        });
  }

  /** Compare-and-swap: writes the job on the condition that it is neither live nor finished. */
  private void store(String id, byte[] record, Consumer<HttpResponse> answer) {
    store.commit(
        List.of(new Condition(Keys.live(id), 0), new Condition(Keys.finished(id), 0)),
        List.of(Write.put(Keys.live(id), record)),
        reply -> {
          if (reply.is(Outcome.OK)) {
            answer.accept(HttpResponse.of(201, JobCodec.state(id, JobState.PENDING)));
          } else if (reply.is(Outcome.CONFLICT)) {
            refuseUnlessKnown(id, Responses.unavailable("the job's state is changing"), answer);
          } else {
            answer.accept(notWritten());
          }
        });
  }

  /** Answers how far the job has come: 404 if there is none, 503 if the store does not answer. */
  void status(String id, Consumer<HttpResponse> answer) {
    if (!JobCodec.validId(id)) {
      answer.accept(Responses.error(404, NO_SUCH_JOB));
      return;
    }
    reader.find(id, job -> answer.accept(statusOf(id, job)));
  }

  private HttpResponse statusOf(String id, JobLookup job) {
    if (job instanceof JobLookup.Finished finished) {
      JobRecords.Finished end = finished.end();
      return HttpResponse.of(200, JobCodec.status(id, end.state(), end.done(), 0));
    }
    if (job instanceof JobLookup.Live live) {
      Optional<JobProgress> current = progress.apply(id);
      int tasks = live.job().spec().tasks();
      int done = Math.min(current.map(JobProgress::done).orElse(0), tasks);
      int running = current.map(JobProgress::running).orElse(0);
      return HttpResponse.of(200, JobCodec.status(id, liveState(id), done, running));
    }
    return notFound(job);
  }

  /**
   * Cancels the job: 200 with its state, which is another one if it had ended before; 404 if there
   * is none, 503 if the store does not answer or take the write.
   */
  void cancel(String id, Consumer<HttpResponse> answer) {
    if (!JobCodec.validId(id)) {
      answer.accept(Responses.error(404, NO_SUCH_JOB));
      return;
    }
    cancel(id, MAX_CANCEL_TRIES, answer);
  }

  private void cancel(String id, int triesLeft, Consumer<HttpResponse> answer) {
    reader.find(
        id,
        job -> {
          if (triesLeft == 0) {
            answer.accept(Responses.unavailable(STORE_SILENT));
          } else if (job instanceof JobLookup.Finished) {
            answer.accept(currentState(id, job));
          } else if (job instanceof JobLookup.Live live) {
            writeCancellation(id, live, triesLeft, answer);
          } else {
            answer.accept(notFound(job));
          }
        });
  }

  /** Compare-and-swap: moves the job from live to finished if it has not changed since. */
  private void writeCancellation(
      String id, JobLookup.Live live, int triesLeft, Consumer<HttpResponse> answer) {
    int done = progress.apply(id).map(JobProgress::done).orElse(0);
    JobRecords.Finished end = new JobRecords.Finished(JobState.CANCELLED, done);
    List<Write> writes =
        List.of(
            Write.delete(Keys.live(id)),
            Write.put(Keys.finished(id), JobRecords.finished(end.state(), end.done())));
    store.commit(
        List.of(new Condition(Keys.live(id), live.version())),
        writes,
        reply -> {
          if (reply.is(Outcome.OK)) {
            reader.rememberFinished(id, end);
            answer.accept(HttpResponse.of(200, JobCodec.state(id, JobState.CANCELLED)));
          } else if (reply.is(Outcome.CONFLICT)) {
            cancel(id, triesLeft - 1, answer);
          } else {
            answer.accept(notWritten());
          }
        });
  }

  /** The state of a job that is live or finished. */
  private HttpResponse currentState(String id, JobLookup job) {
    JobState state =
        job instanceof JobLookup.Finished finished ? finished.end().state() : liveState(id);
    return HttpResponse.of(200, JobCodec.state(id, state));
  }

  private JobState liveState(String id) {
    boolean running = progress.apply(id).map(JobProgress::running).orElse(0) > 0;
    return running ? JobState.RUNNING : JobState.PENDING;
  }

  /** The answer for a job that is absent or not known. */
  private static HttpResponse notFound(JobLookup job) {
    return job instanceof JobLookup.Absent
        ? Responses.error(404, NO_SUCH_JOB)
        : Responses.unavailable(STORE_SILENT);
  }

  /**
   * A user's write that the store did not take: it was not reached, or takes no more at this time.
   */
  private HttpResponse notWritten() {
    int retryAfterS = retryAfter.afterSeconds(scheduler.nowMicros(), store.userWritesPerSecond());
    return new HttpResponse(503, Json.error(STORE_SILENT), retryAfterS, false);
  }
}
