package madderrudder.coordination.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Resources;

/**
 * A machine in the leader's view: its properties, the last report of its worker, the commands and
 * tokens that this leader has sent to it, and the tasks that may be on it. Times are in
 * microseconds of the leader's monotonic clock, or of the wall clock where the name contains
 * "Wall". Confined to the event loop thread.
 */
public final class Machine {
  private static final long NONE = -1;

  /**
   * The multiple of the cloud's boot time after which a boot is late. Most boots take up to one and
   * a half times the boot time that the cloud states, some take several times as long, and a few
   * never finish.
   */
  private static final int LATE_BOOT_FACTOR = 2;

  private static final long BOOT_SLACK_MICROS = 5_000_000;
  private static final long HEARTBEAT_SLACK_MICROS = 1_000_000;

  /**
   * The most tasks on one machine. A worker lists all its tasks in a heartbeat of at most 64 KiB,
   * at about 110 bytes a task; an exited task is listed until the worker is told to forget it.
   */
  private static final int MAX_TASKS = 400;

  /** The id under which the cloud lists it and its worker reports. */
  public final String id;

  /** Its type. */
  public final MachineType type;

  /** Its zone. */
  public final String zone;

  /** Whether it is a spot machine, which the cloud may reclaim. */
  public final boolean spot;

  /** Whether it is owned rather than rented. */
  public final boolean owned;

  /** When it was rented. */
  public final long rentedWallMicros;

  /** When this leader learned of it. */
  public final long discoveredMicros;

  /** Whether it is in the log that this leader read when it took over. */
  public boolean inherited;

  /** The network address of its worker; "" until known. */
  public String address = "";

  /** Whether it is being returned to the cloud. */
  public boolean retiring;

  /** Whether the decision to return it is durable, so that its deletion may be requested. */
  public boolean retiringDurable;

  /** Whether the cloud lists it as failed. */
  public boolean failed;

  /** Whether its worker has reported to this leader. */
  public boolean reported;

  /**
   * The worker's epoch in its newest heartbeat; a worker begins a new one when its lease expires.
   */
  public long epoch;

  /** The sequence number of its newest heartbeat. */
  public long sequence;

  /** The highest fencing token that its worker has seen, according to its newest heartbeat. */
  public long seenToken;

  /** The highest fencing token sent to its worker in this term, or the first one to be sent. */
  public long issuedToken;

  /** Whether its worker was sent an answer in this term. */
  public boolean answeredInTerm;

  /** The highest token of a start command sent to it directly in this term; -1 for none. */
  public long directToken = NONE;

  /**
   * The sequence number of the last heartbeat that its worker sent on schedule rather than in
   * response to a direct command; -1 for none.
   */
  public long heartbeatSequence = NONE;

  /** When the heartbeat of {@link #heartbeatSequence} arrived. */
  public long heartbeatMicros;

  /**
   * Whether a heartbeat that was made in this term has arrived. A heartbeat of an earlier term may
   * be a late copy that is older than anything else known of the machine.
   */
  public boolean reportedInTerm;

  /** Since when its worker reports without acknowledging answers; -1 if it acknowledges them. */
  public long unacknowledgedSinceMicros = NONE;

  /**
   * A heartbeat with this token or a higher one acknowledges an answer that was sent since the
   * machine became unacknowledged.
   */
  private long acknowledgingToken;

  /**
   * When a controller may last have answered its worker and so renewed the lease, as recorded by
   * this leader; initially when this leader recorded the machine.
   */
  public long lastLeaseRenewalMicros;

  /**
   * When this leader last answered its newest heartbeat, directly or through another controller.
   */
  public long lastHeartbeatAnsweredMicros;

  /** Whether it was silent for so long that its worker has stopped all tasks. */
  public boolean leaseExpired;

  /** When the cloud will reclaim it; -1 if no notice was received. */
  public long reclaimMicros = NONE;

  /** Since when no task has been on it. */
  public long idleSinceMicros;

  /** Whether a direct command to its worker is in flight. */
  public boolean directInFlight;

  /** When a direct request without commands was last sent in response to a stale heartbeat. */
  public long invalidationSentMicros = Cluster.LONG_AGO;

  /** The time before which no direct command is sent to its worker. */
  public long directBlockedUntilMicros;

  /** The tasks that are, or may be, on it. Only {@link Cluster} changes it. */
  public final Map<TaskAttempt, Assignment> assignments = new LinkedHashMap<>();

  /** The tasks that its worker reports without a record. Only {@link Cluster} replaces the list. */
  public List<OrphanTask> orphanTasks = List.of();

  /** The resources of all tasks that may be on it. Only {@link Cluster} changes it. */
  Resources used = Resources.NONE;

  /** The log segment that contains it; null until it is written. */
  public LogReference logReference;

  private final ImageCache images;
  private final FailureTracker failures = new FailureTracker();

  /**
   * Creates an empty machine that has not reported yet.
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
    lastLeaseRenewalMicros = nowMicros;
    lastHeartbeatAnsweredMicros = nowMicros;
    idleSinceMicros = nowMicros;
  }

  /** The resources that no task on it may be using. */
  public Resources free() {
    return type.capacity().minus(used);
  }

  /** Whether a task on it is being stopped. */
  public boolean stopping() {
    return assignments.values().stream().anyMatch(a -> a.evicting && !a.completed);
  }

  /** The resources that are free once all tasks being stopped have gone. */
  Resources freeOnceEvicted() {
    Resources free = free();
    for (Assignment assignment : assignments.values()) {
      if (assignment.evicting && !assignment.completed) {
        free = free.plus(assignment.resources);
      }
    }
    return free;
  }

  /**
   * The resources that are free once all tasks have gone but those of production services, which
   * neither end by themselves nor are preempted.
   */
  public Resources capacityWithoutProductionServices() {
    Resources capacity = type.capacity();
    for (Assignment assignment : assignments.values()) {
      if (!assignment.evicting && assignment.job != null && assignment.job.isProductionService()) {
        capacity = capacity.minus(assignment.resources);
      }
    }
    return capacity;
  }

  /** Whether no task is, or may be, on it. */
  public boolean empty() {
    return assignments.isEmpty() && orphanTasks.isEmpty();
  }

  /** Whether it is rented and has not reported to this leader, and may still do so. */
  public boolean booting() {
    return !owned && !reported && !retiring && !failed && !leaseExpired;
  }

  /** Whether it is booting, and not for much longer than a machine of its type takes. */
  public boolean bootingOnTime(long nowMicros) {
    return booting()
        && nowMicros - discoveredMicros <= LATE_BOOT_FACTOR * type.bootMicros() + BOOT_SLACK_MICROS;
  }

  /** The pool of the cloud that it belongs to. */
  public CapacityPool capacityPool() {
    return new CapacityPool(type.name(), zone, spot);
  }

  /**
   * Whether it was up when this leader took over, according to the log, so that its worker is
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

  /** Whether tasks may be placed on it now, given the heartbeat interval. */
  public boolean usable(long nowMicros, long heartbeatIntervalMicros) {
    return reported
        && !unacknowledged()
        && !retiring
        && !failed
        && !leaseExpired
        && !failures.cordoned(nowMicros)
        && !silent(nowMicros, heartbeatIntervalMicros);
  }

  /** Whether it reports, but its worker has not acknowledged an answer. */
  public boolean unacknowledged() {
    return unacknowledgedSinceMicros != NONE;
  }

  /** Whether it has reported for longer than the given time without acknowledging an answer. */
  public boolean unacknowledgedFor(long nowMicros, long forMicros) {
    return unacknowledged() && nowMicros - unacknowledgedSinceMicros > forMicros;
  }

  /**
   * Marks the machine as unacknowledged, unless it already is, because an answer was not
   * acknowledged or none has been since the worker's epoch began. The token is raised, so that a
   * heartbeat with the new token acknowledges an answer sent since.
   *
   * @param sinceMicros since when answers are unacknowledged
   */
  public void expectAcknowledgement(long sinceMicros) {
    if (!unacknowledged()) {
      unacknowledgedSinceMicros = sinceMicros;
      raiseToken();
    }
  }

  /** Raises the token, so that later commands carry a higher one than all earlier commands. */
  public void raiseToken() {
    issuedToken = FencingToken.canRise(issuedToken) ? issuedToken + 1 : issuedToken;
    acknowledgingToken = issuedToken;
  }

  /**
   * Records the highest token that its worker has seen.
   *
   * @return whether that acknowledges an answer of a machine that was unacknowledged before
   */
  public boolean recordAcknowledgement(long seenToken) {
    if (!unacknowledged() || seenToken < acknowledgingToken) {
      return false;
    }
    unacknowledgedSinceMicros = NONE;
    return true;
  }

  /** Whether its heartbeat would exceed the size limit with the given number of further tasks. */
  public boolean atTaskLimit(int more) {
    return assignments.size() + orphanTasks.size() + more >= MAX_TASKS;
  }

  /**
   * Whether a heartbeat is late by more than the slack: the heartbeat interval may be exceeded by a
   * quarter.
   */
  public boolean missedHeartbeat(long nowMicros, long heartbeatIntervalMicros) {
    return nowMicros - lastHeartbeatAnsweredMicros
        > heartbeatIntervalMicros * 5 / 4 + HEARTBEAT_SLACK_MICROS;
  }

  /** The time without heartbeats after which a machine is silent, given their interval. */
  public static long silenceLimitMicros(long heartbeatIntervalMicros) {
    return 3 * heartbeatIntervalMicros + HEARTBEAT_SLACK_MICROS;
  }

  /** Whether several heartbeats are missing; its worker may still run its tasks. */
  public boolean silent(long nowMicros, long heartbeatIntervalMicros) {
    return reported
        && nowMicros - lastHeartbeatAnsweredMicros >= silenceLimitMicros(heartbeatIntervalMicros);
  }

  /**
   * Whether the image was used on it recently and is likely to still be in its cache. The expiry of
   * a lease does not change that.
   */
  public boolean hasImage(String image) {
    return images.contains(image);
  }

  /** Records that an image of the given size in gigabytes is being used on it. */
  public void recordImageUse(String image, double gb) {
    images.recordUse(image, gb);
  }

  /** How many images are likely to be in its cache. */
  public int imageCount() {
    return images.size();
  }

  /**
   * Records that a task of the job has failed on it. After failures of several jobs within the
   * window the machine is cordoned, because they indicate a fault of the machine.
   */
  public void recordFailure(String job, long nowMicros, long windowMicros, long cordonMicros) {
    failures.recordFailure(job, nowMicros, windowMicros, cordonMicros);
  }

  /** Records that the failures of the job were not caused by the machine. */
  public void clearFailure(String job) {
    failures.clearFailure(job);
  }

  /** Whether it is cordoned: tasks of several jobs have failed on it, and it gets no new tasks. */
  public boolean cordoned(long nowMicros) {
    return failures.cordoned(nowMicros);
  }
}
