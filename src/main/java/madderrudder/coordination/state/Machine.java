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
  public final long knownMicros;

  /** Earlier leaders used it: it is in the log that this one took over. */
  public boolean takenOver;

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
  public long given;

  /** Its worker was sent an answer in this term. */
  public boolean told;

  /** The highest token of a direct start that was sent to it in this term. */
  public long directToken = NONE;

  /**
   * The last report that it sent by itself, rather than in answer to a command, and when that came.
   */
  public long helloSeq = NONE;

  public long helloMicros;

  /**
   * A report that was made in this term has come, rather than one that may be older than whatever
   * is known.
   */
  public boolean current;

  /** Since when its worker has not shown that answers reach it, though it reports; else -1. */
  public long deafSinceMicros = NONE;

  /**
   * Once its worker has seen this token, it has acted on an answer given since that was doubted.
   */
  private long proof;

  /**
   * When its worker may last have been answered by anybody, as far as is known; at first, when this
   * leader began.
   */
  public long answeredMicros;

  /** When this leader last answered it, itself or by another controller at its word. */
  public long heardMicros;

  /** Silent for so long that its worker has dropped everything. */
  public boolean lapsed;

  public long recallMicros = -1;
  public long idleSinceMicros;
  long avoidUntilMicros;
  public boolean directInFlight;
  public long directBlockedUntilMicros;
  public final Map<TaskAttempt, Assignment> assignments = new LinkedHashMap<>();

  /** Tasks the worker reported that no record names. Replaced as a whole, by the cluster. */
  public List<OrphanTask> strays = List.of();

  /** What all that may be on the machine takes; kept by the cluster. */
  Resources used = Resources.NONE;

  /** The page of the log that names it, once one does. */
  public LogReference page;

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
    knownMicros = nowMicros;
    answeredMicros = nowMicros;
    heardMicros = nowMicros;
    idleSinceMicros = nowMicros;
  }

  /** What is left once all that may be on the machine is taken off. */
  public Resources free() {
    return type.capacity().minus(used);
  }

  /** Something on it is being stopped. */
  public boolean stopping() {
    return assignments.values().stream().anyMatch(a -> a.unwanted && !a.completed);
  }

  /** What is left once all that is being stopped has gone too. */
  Resources freeSoon() {
    Resources free = free();
    for (Assignment assignment : assignments.values()) {
      if (assignment.unwanted && !assignment.completed) {
        free = free.plus(assignment.takes);
      }
    }
    return free;
  }

  public boolean empty() {
    return assignments.isEmpty() && strays.isEmpty();
  }

  /** Rented, not known to be up, and not given up. */
  public boolean booting() {
    return !owned && !reported && !retiring && !failed && !lapsed;
  }

  /** It boots, and may well come up soon: not for far longer than its type takes. */
  public boolean coming(long nowMicros) {
    return booting()
        && nowMicros - knownMicros <= LATE_BOOT * type.bootMicros() + BOOT_SLACK_MICROS;
  }

  public ScaleOutRequest.CapacityPool shelf() {
    return new ScaleOutRequest.CapacityPool(type.name(), zone, spot);
  }

  /** It was up, as far as the log tells, when this leader took over: its worker is to be heard. */
  public boolean expected(long wallMicros) {
    return takenOver
        && !retiring
        && !failed
        && (owned
            || !assignments.isEmpty()
            || !images.isEmpty()
            || wallMicros - rentedWallMicros > 2 * type.bootMicros());
  }

  public boolean usable(long nowMicros, long reportMicros) {
    return reported
        && !deaf()
        && !retiring
        && !failed
        && !lapsed
        && nowMicros >= avoidUntilMicros
        && !silent(nowMicros, reportMicros);
  }

  /** Its reports come, and nothing shows that answers reach its worker. */
  public boolean deaf() {
    return deafSinceMicros != NONE;
  }

  /** It reports, and has not shown for so long that answers reach it. */
  public boolean deafFor(long nowMicros, long forMicros) {
    return deaf() && nowMicros - deafSinceMicros > forMicros;
  }

  /**
   * An answer was not heeded, or it is not known that any was since its session began: the next one
   * is to tell.
   */
  public void doubt(long sinceMicros) {
    if (!deaf()) {
      deafSinceMicros = sinceMicros;
      raise();
    }
  }

  /** What it is given from now on carries a higher token than anything before. */
  public void raise() {
    given = FencingToken.canRise(given) ? given + 1 : given;
    proof = given;
  }

  /** What its worker has seen by now; whether that ends a doubt. */
  public boolean heeds(long seen) {
    if (!deaf() || seen < proof) {
      return false;
    }
    deafSinceMicros = NONE;
    return true;
  }

  /** Its report would grow too long with so many more tasks. */
  public boolean crowded(int more) {
    return assignments.size() + strays.size() + more >= MOST_TASKS;
  }

  /**
   * A report is missing: the interval between two, with the quarter that it may be longer, has
   * passed for a while.
   */
  public boolean late(long nowMicros, long reportMicros) {
    return nowMicros - heardMicros > reportMicros * 5 / 4 + 1_000_000;
  }

  /** The time within which several reports come. */
  public static long severalReports(long reportMicros) {
    return 3 * reportMicros + 1_000_000;
  }

  /** Several reports are missing, though its worker may still have its tasks. */
  public boolean silent(long nowMicros, long reportMicros) {
    return reported && nowMicros - heardMicros >= severalReports(reportMicros);
  }

  /**
   * The image has been here lately, and the newer ones leave room for it. The end of a lease takes
   * tasks only.
   */
  public boolean hasImage(String image) {
    return images.containsKey(image);
  }

  public void usedImage(String image, double gb) {
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
  public void fault(String job, long nowMicros, long whileMicros, long passedOverMicros) {
    faults.values().removeIf(at -> nowMicros - at > whileMicros);
    faults.put(job, nowMicros);
    if (faults.size() >= FAULTY_AFTER) {
      avoidUntilMicros = nowMicros + passedOverMicros;
    }
  }

  /** The errors of the job say nothing of the machine. */
  public void forgive(String job) {
    if (faults.remove(job) != null && faults.size() < FAULTY_AFTER) {
      avoidUntilMicros = 0;
    }
  }

  /** Tasks of several jobs have failed on it, and it is passed over for a while. */
  public boolean faulty(long nowMicros) {
    return nowMicros < avoidUntilMicros;
  }
}
