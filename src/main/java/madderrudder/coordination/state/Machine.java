package madderrudder.coordination.state;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;

/** A machine in the leader's picture: what is on it, and what is known of its worker. */
public final class Machine {
  private static final int FAULTY_AFTER = 2;
  private static final long NONE = -1;

  /**
   * Boots take up to one and a half times what the cloud says; some several times that, and a few
   * never end.
   */
  private static final int LATE_BOOT = 2;

  private static final long BOOT_SLACK_MICROS = 5_000_000;

  /**
   * A worker lists all it has in a report of 64 KiB at most, at some 110 bytes a task; what has
   * exited counts until it is told to forget it.
   */
  private static final int MOST_TASKS = 400;

  /** A task under one attempt number. */
  public record TaskAttempt(TaskId task, long attempt) {}

  /** A task the worker reported that no record names; what it takes is known if its job is. */
  public record OrphanTask(TaskAttempt key, String team, Resources takes) {}

  public final String id;
  public final MachineType type;
  public final String zone;
  public final boolean spot;
  public final boolean owned;
  public final long rentedWallMicros;

  /** Since when this leader knows of it. */
  public final long discoveredMicros;

  /** Earlier leaders used it: it is in the log that this one took over. */
  public boolean inherited;

  public String addr = "";
  public boolean retiring;

  /** The deletion may be sent: that it is retiring is durable. */
  public boolean retiringDurable;

  public boolean failed;
  public boolean reported;
  public long session;
  public long seq;

  /** The highest token that its worker has seen, as its newest report says. */
  public long token;

  /** The highest token that it was given in this term, or is to be given first. */
  public long issuedToken;

  /** Its worker was sent an answer in this term. */
  public boolean answeredInTerm;

  /** The highest token of a direct start that was sent to it in this term. */
  public long directToken = NONE;

  /**
   * The last report that it sent by itself, rather than in answer to a command, and when that came.
   */
  public long heartbeatSeq = NONE;

  public long heartbeatMicros;

  /**
   * A report that was made in this term has come, rather than one that may be older than whatever
   * is known.
   */
  public boolean reportedInTerm;

  /** Since when its worker has not shown that answers reach it, though it reports; else -1. */
  public long unacknowledgedSinceMicros = NONE;

  /**
   * Once its worker has seen this token, it has acted on an answer given since that was doubted.
   */
  private long acknowledgingToken;

  /**
   * When its worker may last have been answered by anybody, as far as is known; at first, when this
   * leader began.
   */
  public long lastAnsweredMicros;

  /** When this leader last answered it, itself or by another controller at its word. */
  public long lastHeardMicros;

  /** Silent for so long that its worker has dropped everything. */
  public boolean leaseExpired;

  public long reclaimMicros = -1;
  public long idleSinceMicros;
  long avoidUntilMicros;
  public boolean directInFlight;
  public long directBlockedUntilMicros;
  public final Map<TaskAttempt, Assignment> assignments = new LinkedHashMap<>();

  /** Tasks the worker reported that no record names. Replaced as a whole, by the cluster. */
  public List<OrphanTask> orphanTasks = List.of();

  /** What all that may be on the machine takes; kept by the cluster. */
  Resources used = Resources.NONE;

  /** The page of the log that names it, once one does. */
  public LogReference logReference;

  private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<String, Long> faults = new HashMap<>();

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
    discoveredMicros = nowMicros;
    lastAnsweredMicros = nowMicros;
    lastHeardMicros = nowMicros;
    idleSinceMicros = nowMicros;
  }

  /** What is left once all that may be on the machine is taken off. */
  public Resources free() {
    return type.capacity().minus(used);
  }

  /** Something on it is being stopped. */
  public boolean stopping() {
    return assignments.values().stream().anyMatch(a -> a.evicting && !a.completed);
  }

  /** What is left once all that is being stopped has gone too. */
  Resources freeSoon() {
    Resources free = free();
    for (Assignment assignment : assignments.values()) {
      if (assignment.evicting && !assignment.completed) {
        free = free.plus(assignment.resources);
      }
    }
    return free;
  }

  public boolean empty() {
    return assignments.isEmpty() && orphanTasks.isEmpty();
  }

  /** Rented, not known to be up, and not given up. */
  public boolean booting() {
    return !owned && !reported && !retiring && !failed && !leaseExpired;
  }

  /** It boots, and may well come up soon: not for far longer than its type takes. */
  public boolean bootingOnTime(long nowMicros) {
    return booting()
        && nowMicros - discoveredMicros <= LATE_BOOT * type.bootMicros() + BOOT_SLACK_MICROS;
  }

  public ScaleOutRequest.CapacityPool capacityPool() {
    return new ScaleOutRequest.CapacityPool(type.name(), zone, spot);
  }

  /** It was up, as far as the log tells, when this leader took over: its worker is to be heard. */
  public boolean expectedUp(long wallMicros) {
    return inherited
        && !retiring
        && !failed
        && (owned
            || !assignments.isEmpty()
            || !images.isEmpty()
            || wallMicros - rentedWallMicros > 2 * type.bootMicros());
  }

  public boolean usable(long nowMicros, long reportMicros) {
    return reported
        && !unacknowledged()
        && !retiring
        && !failed
        && !leaseExpired
        && nowMicros >= avoidUntilMicros
        && !silent(nowMicros, reportMicros);
  }

  /** Its reports come, and nothing shows that answers reach its worker. */
  public boolean unacknowledged() {
    return unacknowledgedSinceMicros != NONE;
  }

  /** It reports, and has not shown for so long that answers reach it. */
  public boolean unacknowledgedFor(long nowMicros, long forMicros) {
    return unacknowledged() && nowMicros - unacknowledgedSinceMicros > forMicros;
  }

  /**
   * An answer was not heeded, or it is not known that any was since its session began: the next one
   * is to tell.
   */
  public void expectAcknowledgement(long sinceMicros) {
    if (!unacknowledged()) {
      unacknowledgedSinceMicros = sinceMicros;
      raiseToken();
    }
  }

  /** What it is given from now on carries a higher token than anything before. */
  public void raiseToken() {
    issuedToken = FencingToken.canRise(issuedToken) ? issuedToken + 1 : issuedToken;
    acknowledgingToken = issuedToken;
  }

  /** What its worker has seen by now; whether that ends a doubt. */
  public boolean acknowledges(long seen) {
    if (!unacknowledged() || seen < acknowledgingToken) {
      return false;
    }
    unacknowledgedSinceMicros = NONE;
    return true;
  }

  /** Its report would grow too long with so many more tasks. */
  public boolean atTaskLimit(int more) {
    return assignments.size() + orphanTasks.size() + more >= MOST_TASKS;
  }

  /**
   * A report is missing: the interval between two, with the quarter that it may be longer, has
   * passed for a while.
   */
  public boolean missedHeartbeat(long nowMicros, long reportMicros) {
    return nowMicros - lastHeardMicros > reportMicros * 5 / 4 + 1_000_000;
  }

  /** The time within which several reports come. */
  public static long missedHeartbeatsMicros(long reportMicros) {
    return 3 * reportMicros + 1_000_000;
  }

  /** Several reports are missing, though its worker may still have its tasks. */
  public boolean silent(long nowMicros, long reportMicros) {
    return reported && nowMicros - lastHeardMicros >= missedHeartbeatsMicros(reportMicros);
  }

  /**
   * The image has been here lately, and the newer ones leave room for it. The end of a lease takes
   * tasks only.
   */
  public boolean hasImage(String image) {
    return images.containsKey(image);
  }

  public void recordImageUse(String image, double gb) {
    images.remove(image);
    images.put(image, gb);
    double total = images.values().stream().mapToDouble(Double::doubleValue).sum();
    var oldest = images.entrySet().iterator();
    while (total > type.cacheGb() && images.size() > 1) {
      total -= oldest.next().getValue();
      oldest.remove();
    }
  }

  public int imageCount() {
    return images.size();
  }

  /**
   * Errors of different jobs within a while point at the machine, which is then passed over for
   * some time.
   */
  public void recordFailure(String job, long nowMicros, long whileMicros, long passedOverMicros) {
    faults.values().removeIf(at -> nowMicros - at > whileMicros);
    faults.put(job, nowMicros);
    if (faults.size() >= FAULTY_AFTER) {
      avoidUntilMicros = nowMicros + passedOverMicros;
    }
  }

  /** The errors of the job say nothing of the machine. */
  public void clearFailure(String job) {
    if (faults.remove(job) != null && faults.size() < FAULTY_AFTER) {
      avoidUntilMicros = 0;
    }
  }

  /** Tasks of several jobs have failed on it, and it is passed over for a while. */
  public boolean cordoned(long nowMicros) {
    return nowMicros < avoidUntilMicros;
  }
}
