package madderrudder.persistence;

import madderrudder.protocol.MalformedMessageException;

/**
 * The keys in the consensus-backed key-value store. The store holds data under the values of these
 * constants, so they must not change.
 */
public final class Keys {
  /**
   * The name and term of the current leader. The key is attached to the leader's lease and exists
   * only as long as the lease does.
   */
  public static final String LEADER = "lead/now";

  /** The prefix that the other controllers watch for a change of leader. */
  public static final String LEADER_PREFIX = "lead/";

  /**
   * The term key: the current term and a serial number that each commit of the leader increments.
   * Every commit of the leader is conditioned on its version, see {@link TermKey}.
   */
  public static final String TERM = "helm";

  /** The prefix of live (unfinished) jobs; the job's id follows. See {@link JobRecords.Live}. */
  public static final String LIVE = "l/";

  /** The prefix of finished jobs; the job's id follows. See {@link JobRecords.Finished}. */
  public static final String FINISHED = "f/";

  /** The prefix of jobs' progress; the job's id, a slash and the number of the chunk follow. */
  public static final String PROGRESS = "p/";

  /** The prefix of the segments of the leader's log; the slot follows. See {@link LogSegment}. */
  public static final String LOG_SEGMENTS = "s/";

  /** The prefix of pending rentals; the request id follows. See {@link RentalRecord}. */
  public static final String RENTALS = "r/";

  /** The prefix of the learned run times; the page number follows. */
  public static final String RUN_TIMES = "e/";

  /** The reservations made against the rental budget. See {@link RentalBudget}. */
  public static final String BUDGET = "budget";

  /**
   * The ids of the owned machines, which existed before the first rental; absent until that rental
   * is recorded.
   */
  public static final String OWNED = "owned";

  /** The machine types in the cloud's latest response. */
  public static final String CATALOG = "catalog";

  private Keys() {}

  /** Returns the key of a live job. */
  public static String live(String job) {
    return LIVE + job;
  }

  /** Returns the key of a finished job. */
  public static String finished(String job) {
    return FINISHED + job;
  }

  /** Returns the key of one chunk of a job's progress; chunks are numbered from 0. */
  public static String progress(String job, int chunk) {
    return PROGRESS + job + "/" + chunk;
  }

  /** Returns the key of the log segment in a slot. */
  public static String logSegment(int slot) {
    return LOG_SEGMENTS + slot;
  }

  /**
   * Returns the slot of the log segment that is stored under a key.
   *
   * @throws MalformedMessageException if the key is not one of a log segment
   */
  public static int logSegmentSlot(String key) throws MalformedMessageException {
    try {
      return Integer.parseInt(key.substring(LOG_SEGMENTS.length()));
    } catch (NumberFormatException e) {
      throw new MalformedMessageException("not the key of a log segment: " + key);
    }
  }

  /** Returns the key of one page of the learned run times. */
  public static String runTimes(int page) {
    return RUN_TIMES + page;
  }

  /** Returns the key of the pending rental with a request id. */
  public static String rental(String requestId) {
    return RENTALS + requestId;
  }
}
