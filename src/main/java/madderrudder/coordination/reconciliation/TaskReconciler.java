package madderrudder.coordination.reconciliation;

import madderrudder.coordination.reconciliation.TaskDecision.Verdict;
import madderrudder.coordination.reconciliation.TaskFacts.DesiredState;
import madderrudder.coordination.reconciliation.TaskFacts.GangState;
import madderrudder.coordination.reconciliation.TaskFacts.RecordOwner;

/**
 * Reconciles the leader's records with the workers' heartbeats, attempt by attempt. The leader
 * calls it for each heartbeat, in normal operation as well as after a failover or a restart of all
 * controllers.
 *
 * <p>The decisions rely on two guarantees. A worker that has seen this term's fencing token
 * executes no command of an earlier term, so a task that is absent by then can no longer be started
 * there by such a command. And a worker kills its tasks when its lease expires, before it begins
 * another epoch, so a task that is recorded there and absent may be started in place, with its
 * cached image and without a write to the store.
 *
 * <p>A pure function that any thread may call.
 */
public final class TaskReconciler {
  private static final TaskDecision MACHINE_NOT_REPORTED =
      new TaskDecision(Verdict.AWAIT, "its machine has sent no heartbeat in this term");
  private static final TaskDecision UNRECORDED =
      new TaskDecision(Verdict.STOP, "no record places it on this machine");
  private static final TaskDecision UNRECORDED_AND_ABSENT =
      new TaskDecision(
          Verdict.KEEP, "no record places it on this machine, and no heartbeat reports it there");
  private static final TaskDecision EXIT_RECORDED =
      new TaskDecision(Verdict.FORGET, "its exit is already recorded");
  private static final TaskDecision KEEP_UNTIL_DURABLE =
      new TaskDecision(Verdict.AWAIT, "its worker keeps it until its completion is durable");
  private static final TaskDecision COMPLETED =
      new TaskDecision(Verdict.RECORD_DONE, "it has completed");
  private static final TaskDecision EXITED = new TaskDecision(Verdict.RECORD_EXIT, "it has exited");
  private static final TaskDecision PRESENT_AS_RECORDED =
      new TaskDecision(Verdict.KEEP, "it is on the machine that its record names");
  private static final TaskDecision UNWANTED =
      new TaskDecision(Verdict.STOP, "it must not run on this machine any more");
  private static final TaskDecision START_MAY_ARRIVE =
      new TaskDecision(Verdict.AWAIT, "a start command may still reach the worker");
  private static final TaskDecision NOT_DURABLE =
      new TaskDecision(Verdict.AWAIT, "its record is not durable yet");
  private static final TaskDecision RECORDED_BUT_ABSENT =
      new TaskDecision(
          Verdict.START, "it is recorded on this machine but absent from the heartbeat");
  private static final TaskDecision MAY_LOSE_PLACE =
      new TaskDecision(
          Verdict.AWAIT,
          "whether higher-ranking work needs its place is not known until enough machines report");
  private static final TaskDecision REPORTED_BEFORE_AND_ABSENT =
      new TaskDecision(
          Verdict.RELEASE, "it was on this machine, is now absent, and can no longer start there");
  private static final TaskDecision UNWANTED_AND_ABSENT =
      new TaskDecision(Verdict.RELEASE, "it is no longer wanted and can no longer start there");
  private static final TaskDecision GANG_STARTED =
      new TaskDecision(
          Verdict.RELEASE, "its gang has started without it, and it can no longer join");
  private static final TaskDecision GANG_STATE_UNKNOWN =
      new TaskDecision(
          Verdict.AWAIT,
          "whether its gang has started is not known until the machines of all members report");

  private TaskReconciler() {}

  /** Returns the decision on one attempt on one machine. */
  public static TaskDecision decide(TaskFacts facts) {
    if (facts.record() == RecordOwner.NONE) {
      return decideUnrecorded(facts);
    }
    if (facts.desired() == DesiredState.KEEP_COMPLETED) {
      return KEEP_UNTIL_DURABLE;
    }
    return switch (facts.reported()) {
      case UNREPORTED -> MACHINE_NOT_REPORTED;
      case COMPLETED -> COMPLETED;
      // The worker may have forgotten the exit since the heartbeat, on a command or because its
      // machine restarted, and a copy of a start command may then start the attempt again.
      case EXITED -> facts.startMayArrive() ? START_MAY_ARRIVE : EXITED;
      case PRESENT -> facts.desired() == DesiredState.REMOVE ? UNWANTED : PRESENT_AS_RECORDED;
      case ABSENT -> decideAbsent(facts);
    };
  }

  private static TaskDecision decideUnrecorded(TaskFacts facts) {
    return switch (facts.reported()) {
      case UNREPORTED, ABSENT -> UNRECORDED_AND_ABSENT;
      case PRESENT -> UNRECORDED;
      case COMPLETED, EXITED -> EXIT_RECORDED;
    };
  }

  private static TaskDecision decideAbsent(TaskFacts facts) {
    if (facts.desired() == DesiredState.REMOVE) {
      return facts.startMayArrive() ? START_MAY_ARRIVE : UNWANTED_AND_ABSENT;
    }
    if (facts.reportedBefore() && !facts.startMayArrive()) {
      return REPORTED_BEFORE_AND_ABSENT;
    }
    if (facts.desired() == DesiredState.MAY_RUN) {
      return MAY_LOSE_PLACE;
    }
    if (facts.record() == RecordOwner.EARLIER && facts.gangState() != GangState.GATHERING) {
      return decideAbsentGangMember(facts);
    }
    return facts.durable() ? RECORDED_BUT_ABSENT : NOT_DURABLE;
  }

  /**
   * Decides on an absent member of an earlier leader's gang, which can join the others only while
   * they gather. Called only if the gang has started, or if that is not known.
   */
  private static TaskDecision decideAbsentGangMember(TaskFacts facts) {
    if (facts.gangState() == GangState.UNKNOWN) {
      return GANG_STATE_UNKNOWN;
    }
    return facts.startMayArrive() ? START_MAY_ARRIVE : GANG_STARTED;
  }
}
