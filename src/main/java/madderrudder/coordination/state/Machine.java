package madderrudder.coordination.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Resources;

/**
 * A machine in the leader's view: what it is, what its worker last reported, what this leader has
 * sent to it, and what may be on it. Times are in microseconds, of the leader's monotonic clock
 * unless the name says wall. Confined to the event loop thread.
 */
public final class Machine {
  private static final long NONE = -1;

  /**
   * Most boots take up to one and a half times what the cloud says; some several times that, and a
   * few never end.
   */
  private static final int LATE_BOOT_FACTOR = 2;

  private static final long BOOT_SLACK_MICROS = 5_000_000;
  private static final long HEARTBEAT_SLACK_MICROS = 1_000_000;

  /**
   * A worker lists all its tasks in a heartbeat of at most 64 KiB, at some 110 bytes a task; what
   * has exited counts until it is told to forget it.
   */
  private static final int MOST_TASKS = 400;

  /** Its name. */
  public final String id;

  /** Its type. */
  public final MachineType type;

  /** Its zone. */
  public final String zone;

  /** Whether it is a spot instance, which the cloud may reclaim. */
  public final boolean spot;

  /** Whether it is owned rather than rented. */
  public final boolean owned;

  /** When it was rented. */
  public final long rentedWallMicros;

  /** Since when this leader knows of it. */
  public final long discoveredMicros;

  /** Used by earlier leaders: it is in the log that this one read when it took over. */
  public boolean inherited;

  /** The address of its worker; "" until known. */
  public String address = "";

  /** It is being returned to the cloud. */
  public boolean retiring;

  /** That it is retiring is durable, so that its deletion may be sent. */
  public boolean retiringDurable;

  /** It stopped by itself, as the cloud says. */
  public boolean failed;

  /** Its worker has reported to this leader. */
  public boolean reported;

  /** The epoch of its newest heartbeat. */
  public long epoch;

  /** The sequence number of its newest heartbeat. */
  public long sequence;

  /** The highest fencing token that its worker has seen, as its newest heartbeat says. */
  public long seenToken;

  /** The highest fencing token that it was given in this term, or is to be given first. */
  public long issuedToken;

  /** Its worker was sent an answer in this term. */
  public boolean answeredInTerm;

  /** The highest token of a start command sent to it directly in this term; -1 for none. */
  public long directToken = NONE;

  /**
   * The sequence number of the last heartbeat that its worker sent by itself rather than in answer
   * to a command; -1 for none.
   */
  public long heartbeatSequence = NONE;

  /** When the heartbeat of {@link #heartbeatSequence} came. */
  public long heartbeatMicros;

  /**
   * A heartbeat that was made in this term has come, rather than one that may be older than all
   * that is known.
   */
  public boolean reportedInTerm;

  /** Since when its worker, though it reports, has not shown that answers reach it; else -1. */
  public long unacknowledgedSinceMicros = NONE;

  /** A worker that has seen this token has acted on an answer given since that was in doubt. */
  private long acknowledgingToken;

  /**
   * When its worker may last have been answered by any controller, as far as is known; at first,
   * when this leader began.
   */
  public long lastAnsweredMicros;

  /** When this leader last answered it, itself or through another controller on its behalf. */
  public long lastHeardMicros;

  /** Silent for so long that its worker has dropped everything. */
  public boolean leaseExpired;

  /** When the cloud will reclaim it; -1 if no such notice came. */
  public long reclaimMicros = NONE;

  /** Since when nothing has been on it. */
  public long idleSinceMicros;

  /** A direct command to its worker is under way. */
  public boolean directInFlight;

  /** No direct command is sent to its worker before this time. */
  public long directBlockedUntilMicros;

  /** What is, or may be, on it. Changed by the cluster alone. */
  public final Map<TaskAttempt, Assignment> assignments = new LinkedHashMap<>();

  /** Tasks that its worker reported and no record names. Replaced as a whole, by the cluster. */
  public List<OrphanTask> orphanTasks = List.of();

  /** What all that may be on the machine uses; kept by the cluster. */
  Resources used = Resources.NONE;

  /** The segment of the log that names it; null before there is one. */
  public LogReference logReference;

  private final ImageCache images;
  private final FailureTracker failures = new FailureTracker();

  /**
   * Makes an empty machine that has not reported yet.
   *
   * @param rentedWallMicros when it was rented
   * @param nowMicros when this leader learned of it
   */
  public Machine(
      String id,
      MachineType type,
      String zone,
      boolean spot,
      boolean owned,
      long rentedWallMicros,
      long nowMicros) {
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.owned = owned;
    this.rentedWallMicros = rentedWallMicros;
    images = new ImageCache(type.cacheGb());
    discoveredMicros = nowMicros;
    lastAnsweredMicros = nowMicros;
    lastHeardMicros = nowMicros;
    idleSinceMicros = nowMicros;
  }

  /** What is left beside all that may be on the machine. */
  public Resources free() {
    return type.capacity().minus(used);
  }

  /** Whether something on it is being stopped. */
  public boolean stopping() {
    return assignments.values().stream().anyMatch(a -> a.evicting && !a.completed);
  }

  /** What is left once all that is being stopped has gone too. */
  Resources freeOnceEvicted() {
    Resources free = free();
    for (Assignment assignment : assignments.values()) {
      if (assignment.evicting && !assignment.completed) {
        free = free.plus(assignment.resources);
      }
    }
    return free;
  }

  /** Whether nothing is, or may be, on it. */
  public boolean empty() {
    return assignments.isEmpty() && orphanTasks.isEmpty();
  }

  /** Whether it is rented, not known to be up, and not given up. */
  public boolean booting() {
    return !owned && !reported && !retiring && !failed && !leaseExpired;
  }

  /** Whether it is booting and may come up soon: not for far longer than its type takes. */
  public boolean bootingOnTime(long nowMicros) {
    return booting()
        && nowMicros - discoveredMicros <= LATE_BOOT_FACTOR * type.bootMicros() + BOOT_SLACK_MICROS;
  }

  /** The pool of the cloud that it belongs to. */
  public CapacityPool capacityPool() {
    return new CapacityPool(type.name(), zone, spot);
  }

  /**
   * Whether it was up when this leader took over, as far as the log tells, so that its worker is
   * expected to report.
   */
  public boolean expectedUp(long wallMicros) {
    return inherited
        && !retiring
        && !failed
        && (owned
            || !assignments.isEmpty()
            || images.size() > 0
            || wallMicros - rentedWallMicros > 2 * type.bootMicros());
  }

  /** Whether tasks may be placed on it now, given the interval between heartbeats. */
  public boolean usable(long nowMicros, long reportMicros) {
    return reported
        && !unacknowledged()
        && !retiring
        && !failed
        && !leaseExpired
        && !failures.cordoned(nowMicros)
        && !silent(nowMicros, reportMicros);
  }

  /** Whether it reports, and nothing shows that answers reach its worker. */
  public boolean unacknowledged() {
    return unacknowledgedSinceMicros != NONE;
  }

  /** Whether it reports, and nothing has shown for so long that answers reach its worker. */
  public boolean unacknowledgedFor(long nowMicros, long forMicros) {
    return unacknowledged() && nowMicros - unacknowledgedSinceMicros > forMicros;
  }

  /**
   * Raises the token so that the next answer shows whether answers reach its worker: one was not
   * heeded, or none is known to have been since its epoch began.
   */
  public void expectAcknowledgement(long sinceMicros) {
    if (!unacknowledged()) {
      unacknowledgedSinceMicros = sinceMicros;
      raiseToken();
    }
  }

  /** Whatever it is given from now on carries a higher token than anything before. */
  public void raiseToken() {
    issuedToken = FencingToken.canRise(issuedToken) ? issuedToken + 1 : issuedToken;
    acknowledgingToken = issuedToken;
  }

  /**
   * Records the highest token that its worker has seen.
   *
   * @return whether that ends a doubt whether answers reach it
   */
  public boolean recordAcknowledgement(long seenToken) {
    if (!unacknowledged() || seenToken < acknowledgingToken) {
      return false;
    }
    unacknowledgedSinceMicros = NONE;
    return true;
  }

  /** Whether its heartbeat would grow too long with so many more tasks. */
  public boolean atTaskLimit(int more) {
    return assignments.size() + orphanTasks.size() + more >= MOST_TASKS;
  }

  /**
   * Whether a heartbeat is missing: the interval between two, with the quarter that it may be
   * longer, has passed for a while.
   */
  public boolean missedHeartbeat(long nowMicros, long reportMicros) {
    return nowMicros - lastHeardMicros > reportMicros * 5 / 4 + HEARTBEAT_SLACK_MICROS;
  }

  /** The time within which several heartbeats come, given the interval between them. */
  public static long missedHeartbeatsMicros(long reportMicros) {
    return 3 * reportMicros + HEARTBEAT_SLACK_MICROS;
  }

  /** Whether several heartbeats are missing, though its worker may still have its tasks. */
  public boolean silent(long nowMicros, long reportMicros) {
    return reported && nowMicros - lastHeardMicros >= missedHeartbeatsMicros(reportMicros);
  }

  /**
   * Whether the image was used on it lately, and is likely to be in its cache still. The end of a
   * lease does not change that.
   */
  public boolean hasImage(String image) {
    return images.contains(image);
  }

  /** Records that an image of so many gigabytes is being used on it. */
  public void recordImageUse(String image, double gb) {
    images.recordUse(image, gb);
  }

  /** How many images are taken to be in its cache. */
  public int imageCount() {
    return images.size();
  }

  /**
   * Records that a task of the job has failed on it. Failures of different jobs within the window
   * point at the machine, which is then cordoned for some time.
   */
  public void recordFailure(String job, long nowMicros, long windowMicros, long cordonMicros) {
    failures.recordFailure(job, nowMicros, windowMicros, cordonMicros);
  }

  /** Records that the failures of the job say nothing about the machine. */
  public void clearFailure(String job) {
    failures.clearFailure(job);
  }

  /** Whether tasks of several jobs have failed on it, so that nothing is placed on it for now. */
  public boolean cordoned(long nowMicros) {
    return failures.cordoned(nowMicros);
  }
}
