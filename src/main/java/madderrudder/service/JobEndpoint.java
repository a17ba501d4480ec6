package madderrudder.service;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import madderrudder.coordination.cloud.MachineTypeCatalog;
import madderrudder.coordination.policy.Deployment;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.persistence.JobRecords;
import madderrudder.persistence.Keys;
import madderrudder.persistence.LiveJobChecker;
import madderrudder.persistence.StoreClient;
import madderrudder.persistence.StoreReply;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.Fields;
import madderrudder.protocol.JobCodec;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.JobState;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.PeerMessage.JobProgress;
import madderrudder.protocol.StoreCodec.Condition;
import madderrudder.protocol.StoreCodec.Item;
import madderrudder.protocol.StoreCodec.Write;
import madderrudder.transport.HttpResponse;
import madderrudder.transport.Scheduler;

/**
 * Serves users on any node. Whether a job is live, done or cancelled is always read from the store,
 * so no node can give an older answer than another; only endings, which never change, are
 * remembered.
 */
final class JobEndpoint {
  private static final int MOST_REMEMBERED = 5_000;
  private static final int MOST_SEEN_LIVE = 2_000;

  /** The store takes this many conditions for each write that it allows in a transaction. */
  private static final int CONDITIONS_PER_WRITE = 4;

  private static final int RETRY_AFTER_S = 1;
  private static final int MOST_TRIES = 4;

  private final Scheduler scheduler;
  private final StoreClient store;
  private final MachineTypeCatalog catalog;
  private final Map<String, TeamQuota> teams;
  private final int mostValueBytes;
  private final Function<String, JobProgress> progress;
  private final LiveJobChecker checks;
  private final RetryAfterPolicy returns = new RetryAfterPolicy();
  private final Map<String, JobRecords.Finished> remembered = bounded(MOST_REMEMBERED);

  /**
   * Live jobs that were read here. Their keys are written once, so that only their end is to be
   * asked for.
   */
  private final Map<String, Known> seenLive = bounded(MOST_SEEN_LIVE);

  /** What the store says of a job: live, finished, or neither. */
  private record Known(JobRecords.Live live, long version, JobRecords.Finished finished) {}

  JobEndpoint(
      Scheduler scheduler,
      StoreClient store,
      MachineTypeCatalog catalog,
      Map<String, TeamQuota> teams,
      Deployment.StateLimits limits,
      Function<String, JobProgress> progress) {
    this.scheduler = scheduler;
    this.store = store;
    this.catalog = catalog;
    this.teams = teams;
    mostValueBytes = limits.valueBytes();
    checks = new LiveJobChecker(store, CONDITIONS_PER_WRITE * limits.transactionWrites());
    this.progress = progress;
  }

  private static <T> Map<String, T> bounded(int most) {
    return new LinkedHashMap<>() {
      @Override
      protected boolean removeEldestEntry(Map.Entry<String, T> eldest) {
        return size() > most;
      }
    };
  }

  static HttpResponse unavailable(String why) {
    return new HttpResponse(503, Json.error(why), RETRY_AFTER_S, false);
  }

  /**
   * A user's write that the store did not take: it was not reached, or takes no more at this time.
   */
  private HttpResponse notWritten() {
    return new HttpResponse(
        503,
        Json.error("the store does not answer"),
        returns.afterSeconds(scheduler.nowMicros(), store.userWritesPerSecond()),
        false);
  }

  void submit(byte[] body, Consumer<HttpResponse> answer) {
    Fields fields;
    String id;
    try {
      fields = Json.readObject(body);
      id = JobCodec.readId(fields);
    } catch (MalformedMessageException e) {
      answer.accept(HttpResponse.of(400, Json.error(e.getMessage())));
      return;
    }
    JobSpec spec;
    try {
      spec = JobCodec.read(fields);
    } catch (MalformedMessageException e) {
      refuse(id, HttpResponse.of(400, Json.error(e.getMessage())), answer);
      return;
    }
    if (!catalog.known()) {
      refuse(id, unavailable("the machine types are not known yet"), answer);
      return;
    }
    String impossible = JobAdmission.impossible(spec, teams, catalog.types().values());
    if (impossible != null) {
      refuse(id, HttpResponse.of(422, Json.error(impossible)), answer);
      return;
    }
    byte[] record = JobRecords.live(spec, scheduler.wallMicros());
    if (record.length > mostValueBytes) {
      refuse(id, HttpResponse.of(400, Json.error("the job is too large to be kept")), answer);
      return;
    }
    accept(id, record, answer);
  }

  /** A known job is answered as known, whatever the repeated submission looks like. */
  private void refuse(String id, HttpResponse refusal, Consumer<HttpResponse> answer) {
    find(
        id,
        known ->
            answer.accept(
                known == null
                    ? unavailable("the store does not answer")
                    : known.live() == null && known.finished() == null
                        ? refusal
                        : submitted(200, id, known)));
  }

  private void accept(String id, byte[] record, Consumer<HttpResponse> answer) {
    List<Condition> absent =
        List.of(new Condition(Keys.live(id), 0), new Condition(Keys.finished(id), 0));
    store.commit(
        absent,
        List.of(Write.put(Keys.live(id), record)),
        reply -> {
          if (reply.is(Outcome.OK)) {
            answer.accept(HttpResponse.of(201, JobCodec.state(id, JobState.PENDING)));
          } else if (reply.is(Outcome.CONFLICT)) {
            refuse(id, unavailable("the job's state is changing"), answer);
          } else {
            answer.accept(notWritten());
          }
        });
  }

  private HttpResponse submitted(int status, String id, Known known) {
    JobState state = known.finished() != null ? known.finished().state() : liveState(id);
    return HttpResponse.of(status, JobCodec.state(id, state));
  }

  private JobState liveState(String id) {
    JobProgress now = progress.apply(id);
    return now != null && now.running() > 0 ? JobState.RUNNING : JobState.PENDING;
  }

  void poll(String id, Consumer<HttpResponse> answer) {
    if (!JobCodec.validId(id)) {
      answer.accept(HttpResponse.of(404, Json.error("no such job")));
      return;
    }
    find(id, known -> answer.accept(polled(id, known)));
  }

  private HttpResponse polled(String id, Known known) {
    if (known == null) {
      return unavailable("the store does not answer");
    }
    if (known.finished() != null) {
      return HttpResponse.of(
          200, JobCodec.status(id, known.finished().state(), known.finished().done(), 0));
    }
    if (known.live() == null) {
      return HttpResponse.of(404, Json.error("no such job"));
    }
    JobProgress now = progress.apply(id);
    int done = now == null ? 0 : Math.min(now.done(), known.live().spec().tasks());
    return HttpResponse.of(
        200, JobCodec.status(id, liveState(id), done, now == null ? 0 : now.running()));
  }

  void withdraw(String id, Consumer<HttpResponse> answer) {
    if (!JobCodec.validId(id)) {
      answer.accept(HttpResponse.of(404, Json.error("no such job")));
      return;
    }
    withdraw(id, MOST_TRIES, answer);
  }

  private void withdraw(String id, int tries, Consumer<HttpResponse> answer) {
    find(
        id,
        known -> {
          if (known == null || tries == 0) {
            answer.accept(unavailable("the store does not answer"));
          } else if (known.finished() != null) {
            answer.accept(submitted(200, id, known));
          } else if (known.live() == null) {
            answer.accept(HttpResponse.of(404, Json.error("no such job")));
          } else {
            cancel(id, known, tries, answer);
          }
        });
  }

  private void cancel(String id, Known known, int tries, Consumer<HttpResponse> answer) {
    JobProgress now = progress.apply(id);
    JobRecords.Finished end =
        new JobRecords.Finished(JobState.CANCELLED, now == null ? 0 : now.done());
    List<Write> writes =
        List.of(
            Write.delete(Keys.live(id)),
            Write.put(Keys.finished(id), JobRecords.finished(end.state(), end.done())));
    store.commit(
        List.of(new Condition(Keys.live(id), known.version())),
        writes,
        reply -> {
          if (reply.is(Outcome.OK)) {
            remembered.put(id, end);
            answer.accept(HttpResponse.of(200, JobCodec.state(id, JobState.CANCELLED)));
          } else if (reply.is(Outcome.CONFLICT)) {
            withdraw(id, tries - 1, answer);
          } else {
            answer.accept(notWritten());
          }
        });
  }

  /**
   * Looks the job up, live first and then finished, since it only ever moves that way; null if
   * unknowable.
   */
  private void find(String id, Consumer<Known> found) {
    JobRecords.Finished end = remembered.get(id);
    if (end != null) {
      found.accept(new Known(null, 0, end));
      return;
    }
    Known seen = seenLive.get(id);
    if (seen != null) {
      checks.ask(
          id,
          seen.version(),
          answer -> {
            switch (answer) {
              case LIVE -> found.accept(seen);
              case MOVED -> findMoved(id, found);
              default -> found.accept(null);
            }
          });
      return;
    }
    store.get(
        Keys.live(id),
        live -> {
          if (live.is(Outcome.OK)) {
            found.accept(readLive(id, live.value()));
          } else if (live.is(Outcome.GONE)) {
            findMoved(id, found);
          } else {
            found.accept(null);
          }
        });
  }

  private void findMoved(String id, Consumer<Known> found) {
    seenLive.remove(id);
    store.get(Keys.finished(id), finished -> found.accept(readFinished(id, finished)));
  }

  private Known readLive(String id, Item item) {
    try {
      Known known = new Known(JobRecords.readLive(item.value()), item.version(), null);
      seenLive.put(id, known);
      return known;
    } catch (MalformedMessageException e) {
      return null;
    }
  }

  private Known readFinished(String id, StoreReply<Item> reply) {
    if (reply.is(Outcome.GONE)) {
      return new Known(null, 0, null);
    }
    if (!reply.is(Outcome.OK)) {
      return null;
    }
    try {
      JobRecords.Finished end = JobRecords.readFinished(reply.value().value());
      remembered.put(id, end);
      return new Known(null, 0, end);
    } catch (MalformedMessageException e) {
      return null;
    }
  }
}
