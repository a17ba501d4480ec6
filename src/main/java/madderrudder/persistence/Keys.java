package madderrudder.persistence;

import madderrudder.protocol.MalformedMessageException;

/**
 * The keys in the consensus-backed key-value store. The values of these constants are stored and
 * must not change.
 */
public final class Keys {
  /** The leader's name and term; attached to its lease, so it exists only while a leader does. */
  public static final String LEAD = "lead/now";

  /** The prefix under which the other controllers watch for a change of leader. */
  public static final String LEAD_PREFIX = "lead/";

  /**
   * The term key: the term, and a serial number raised by each commit of the leader. Every commit
   * is conditioned on it, see {@link TermKey}.
   */
  public static final String TERM = "helm";

  /** The prefix of the jobs that are not over; their ids follow. See {@link JobRecords.Live}. */
  public static final String LIVE = "l/";

  /** The prefix of the jobs that are over; their ids follow. See {@link JobRecords.Finished}. */
  public static final String FINISHED = "f/";

  /** The prefix of the jobs' progress: the job's id, a slash and the number of the chunk follow. */
  public static final String PROGRESS = "p/";

  /** The prefix of the segments of the leader's log; their slots follow. See {@link LogSegment}. */
  public static final String LOG_SEGMENTS = "s/";

  /** The prefix of the open rentals; their request ids follow. See {@link RentalRecord}. */
  public static final String RENTALS = "r/";

  /** The prefix of the learned run times; page numbers follow. */
  public static final String RUN_TIMES = "e/";

  /** What is used up of the rental budget. See {@link RentalBudget}. */
  public static final String BUDGET = "budget";

  /** The machines that existed before the first rental; absent until that rental is recorded. */
  public static final String OWNED = "owned";

  /** The machine types as the cloud last returned them. */
  public static final String CATALOG = "catalog";

  private Keys() {}

  /** The key of a job that is not over. */
  public static String live(String job) {
    return LIVE + job;
  }

  /** The key of a job that is over. */
  public static String finished(String job) {
    return FINISHED + job;
  }

  /** The key of one chunk of a job's progress; chunks count from 0. */
  public static String progress(String job, int chunk) {
    return PROGRESS + job + "/" + chunk;
  }

  /** The key of the log segment in a slot. */
  public static String logSegment(int slot) {
    return LOG_SEGMENTS + slot;
  }

  /**
   * The slot of the log segment that is stored under a key.
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

  /** The key of one page of the learned run times. */
  public static String runTimes(int page) {
    return RUN_TIMES + page;
  }

  /** The key of an open rental. */
  public static String rental(String request) {
    return RENTALS + request;
  }
}
