package madderrudder.service;

import java.util.Map;
import java.util.function.Consumer;
import madderrudder.persistence.JobRecords;
import madderrudder.persistence.Keys;
import madderrudder.persistence.LiveJobChecker;
import madderrudder.persistence.StoreClient;
import madderrudder.persistence.StoreReply;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.StoreCodec.KeyValue;
import madderrudder.util.BoundedMap;

/**
 * Looks jobs up in the store: live first and then finished, since a job only ever moves that way.
 * Whether a job is live is always asked of the store, so that no controller can give an older
 * answer than another; only ends, which never change, are remembered. Confined to the event loop
 * thread.
 */
final class JobReader {
  private static final int MAX_REMEMBERED_FINISHED = 5_000;
  private static final int MAX_REMEMBERED_LIVE = 2_000;

  private final StoreClient store;
  private final LiveJobChecker liveJobs;
  private final Map<String, JobLookup.Finished> finishedJobs =
      BoundedMap.evictingOldest(MAX_REMEMBERED_FINISHED);

  /**
   * Live jobs that were read here. Their keys are written once, so that the store need only be
   * asked whether they have ended.
   */
  private final Map<String, JobLookup.Live> seenLive =
      BoundedMap.evictingOldest(MAX_REMEMBERED_LIVE);

  /** {@code maxConditions} is the most that the store takes in one transaction. */
  JobReader(StoreClient store, int maxConditions) {
    this.store = store;
    liveJobs = new LiveJobChecker(store, maxConditions);
  }

  /** Looks the job up; what is found holds at some moment after this call. */
  void find(String id, Consumer<JobLookup> found) {
    JobLookup.Finished finished = finishedJobs.get(id);
    if (finished != null) {
      found.accept(finished);
      return;
    }
    JobLookup.Live seen = seenLive.get(id);
    if (seen != null) {
      checkStillLive(id, seen, found);
    } else {
      readLive(id, found);
    }
  }

  /** Notes how a job has ended, as this controller has just written it. */
  void rememberFinished(String id, JobRecords.Finished end) {
    finishedJobs.put(id, new JobLookup.Finished(end));
  }

  private void checkStillLive(String id, JobLookup.Live seen, Consumer<JobLookup> found) {
    liveJobs.ask(
        id,
        seen.version(),
        answer -> {
          switch (answer) {
            case LIVE -> found.accept(seen);
            case MOVED -> readFinished(id, found);
            default -> found.accept(new JobLookup.Unknown());
          }
        });
  }

  private void readLive(String id, Consumer<JobLookup> found) {
    store.get(
        Keys.live(id),
        reply -> {
          switch (reply.outcome()) {
            case OK -> found.accept(decodeLive(id, reply.value()));
            case GONE -> readFinished(id, found);
            default -> found.accept(new JobLookup.Unknown());
          }
        });
  }

  private void readFinished(String id, Consumer<JobLookup> found) {
    seenLive.remove(id);
    store.get(Keys.finished(id), reply -> found.accept(decodeFinished(id, reply)));
  }

  private JobLookup decodeLive(String id, KeyValue item) {
    try {
      JobLookup.Live live = new JobLookup.Live(JobRecords.readLive(item.value()), item.version());
      seenLive.put(id, live);
      return live;
    } catch (MalformedMessageException e) {
      return new JobLookup.Unknown();
    }
  }

  private JobLookup decodeFinished(String id, StoreReply<KeyValue> reply) {
    if (reply.is(Outcome.GONE)) {
      return new JobLookup.Absent();
    }
    if (!reply.is(Outcome.OK)) {
      return new JobLookup.Unknown();
    }
    try {
      JobRecords.Finished end = JobRecords.readFinished(reply.value().value());
      JobLookup.Finished finished = new JobLookup.Finished(end);
      finishedJobs.put(id, finished);
      return finished;
    } catch (MalformedMessageException e) {
      return new JobLookup.Unknown();
    }
  }
}
