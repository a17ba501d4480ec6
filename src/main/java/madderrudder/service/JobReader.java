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
 * Looks up jobs in the store: first the live record and then the finished one, since a job only
 * ever moves from live to finished. Whether a job is live is checked in the store at each lookup,
 * so that no controller returns an older state than another. Only finished jobs, which never
 * change, are returned from a cache. Confined to the event loop thread.
 */
final class JobReader {
  private static final int MAX_CACHED_FINISHED_JOBS = 5_000;
  private static final int MAX_CACHED_LIVE_JOBS = 2_000;

  private final StoreClient store;
  private final LiveJobChecker liveJobChecker;
  private final Map<String, JobLookup.Finished> finishedCache =
      BoundedMap.evictingOldest(MAX_CACHED_FINISHED_JOBS);

  /**
   * Live records that were read before. A live record is written once and never modified, so a
   * lookup only has to check whether its version is still the same.
   */
  private final Map<String, JobLookup.Live> liveCache =
      BoundedMap.evictingOldest(MAX_CACHED_LIVE_JOBS);

  /** Creates a reader; {@code maxConditions} limits the conditions in one store transaction. */
  JobReader(StoreClient store, int maxConditions) {
    this.store = store;
    liveJobChecker = new LiveJobChecker(store, maxConditions);
  }

  /** Looks up a job. The result was valid at some moment after this call. */
  void find(String id, Consumer<JobLookup> callback) {
    JobLookup.Finished cachedFinished = finishedCache.get(id);
    if (cachedFinished != null) {
      callback.accept(cachedFinished);
      return;
    }
    JobLookup.Live cachedLive = liveCache.get(id);
    if (cachedLive != null) {
      checkStillLive(id, cachedLive, callback);
    } else {
      readLive(id, callback);
    }
  }

  /** Caches the result of a job that this controller has just written to the store. */
  void cacheFinished(String id, JobRecords.Finished result) {
    finishedCache.put(id, new JobLookup.Finished(result));
  }

  private void checkStillLive(String id, JobLookup.Live cached, Consumer<JobLookup> callback) {
    liveJobChecker.check(
        id,
        cached.version(),
        answer -> {
          switch (answer) {
            case LIVE -> callback.accept(cached);
            case CHANGED -> readFinished(id, callback);
            default -> callback.accept(new JobLookup.Unknown());
          }
        });
  }

  private void readLive(String id, Consumer<JobLookup> callback) {
    store.get(
        Keys.live(id),
        reply -> {
          switch (reply.outcome()) {
            case OK -> callback.accept(decodeAndCacheLive(id, reply.value()));
            case GONE -> readFinished(id, callback);
            default -> callback.accept(new JobLookup.Unknown());
          }
        });
  }

  private void readFinished(String id, Consumer<JobLookup> callback) {
    liveCache.remove(id);
    store.get(Keys.finished(id), reply -> callback.accept(decodeAndCacheFinished(id, reply)));
  }

  private JobLookup decodeAndCacheLive(String id, KeyValue keyValue) {
    try {
      JobLookup.Live live =
          new JobLookup.Live(JobRecords.decodeLive(keyValue.value()), keyValue.version());
      liveCache.put(id, live);
      return live;
    } catch (MalformedMessageException e) {
      return new JobLookup.Unknown();
    }
  }

  private JobLookup decodeAndCacheFinished(String id, StoreReply<KeyValue> reply) {
    if (reply.is(Outcome.GONE)) {
      return new JobLookup.Absent();
    }
    if (!reply.is(Outcome.OK)) {
      return new JobLookup.Unknown();
    }
    try {
      JobRecords.Finished result = JobRecords.decodeFinished(reply.value().value());
      JobLookup.Finished finished = new JobLookup.Finished(result);
      finishedCache.put(id, finished);
      return finished;
    } catch (MalformedMessageException e) {
      return new JobLookup.Unknown();
    }
  }
}
