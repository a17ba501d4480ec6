package madderrudder.coordination.reconciliation;

import madderrudder.coordination.reconciliation.TaskDecision.Verdict;
import madderrudder.coordination.reconciliation.TaskFacts.DesiredState;
import madderrudder.coordination.reconciliation.TaskFacts.GangState;
import madderrudder.coordination.reconciliation.TaskFacts.RecordOwner;

/**
 * Reconciles what the records say with what workers report, attempt by attempt. The leader asks it
 * of each heartbeat, after a failover or a restart of all controllers as on an ordinary day.
 *
 * <p>It rests on two facts. A worker executes no command of an earlier term once it has seen this
 * term's fencing token, so that a task it does not have by then can no longer start there by such a
 * command. And a worker kills its tasks when its lease expires, before it begins another epoch:
 * what is recorded there and absent may be started in place, with its image and without a write.
 *
 * <p>A pure function, usable from any thread.
 */
public final class TaskReconciler {
  private static final TaskDecision NOT_HEARD =
      new TaskDecision(Verdict.AWAIT, "its machine has not been heard in this term");
  private static final TaskDecision UNRECORDED =
      new TaskDecision(Verdict.STOP, "no record names it there");
  private static final TaskDecision NEVER_THERE =
      new TaskDecision(Verdict.KEEP, "no record names it there, and it is not there");
  private static final TaskDecision EXIT_RECORDED =
      new TaskDecision(Verdict.FORGET, "it has exited, and that is recorded");
  private static final TaskDecision KEEP_UNTIL_DURABLE =
      new TaskDecision(Verdict.AWAIT, "it is kept until its completion is durable");
  private static final TaskDecision COMPLETED =
      new TaskDecision(Verdict.RECORD_DONE, "it has completed");
  private static final TaskDecision EXITED = new TaskDecision(Verdict.RECORD_EXIT, "it has exited");
  private static final TaskDecision RUNS =
      new TaskDecision(Verdict.KEEP, "it is where it should be");
  private static final TaskDecision UNWANTED =
      new TaskDecision(Verdict.STOP, "it must not be there any more");
  private static final TaskDecision MAY_COME =
      new TaskDecision(Verdict.AWAIT, "a start command may still arrive");
  private static final TaskDecision NOT_DURABLE =
      new TaskDecision(Verdict.AWAIT, "its record is not durable yet");
  private static final TaskDecision MISSING =
      new TaskDecision(Verdict.START, "it is recorded there and missing");
  private static final TaskDecision RANK_UNKNOWN =
      new TaskDecision(
          Verdict.AWAIT, "what ranks before it is not known until enough machines are heard");
  private static final TaskDecision HAS_GONE =
      new TaskDecision(Verdict.GONE, "it was there, has gone, and cannot come back");
  private static final TaskDecision GIVEN_UP =
      new TaskDecision(Verdict.GONE, "it is not wanted, and cannot start any more");
  private static final TaskDecision GANG_RAN =
      new TaskDecision(Verdict.GONE, "its gang ran without it, and cannot take it back");
  private static final TaskDecision GANG_UNHEARD =
      new TaskDecision(
          Verdict.AWAIT, "whether its gang has run is not known until all members are heard");

  private TaskReconciler() {}

  /** The decision that follows from the facts. */
  public static TaskDecision of(TaskFacts facts) {
    if (facts.record() == RecordOwner.NONE) {
      return unrecorded(facts);
    }
    if (facts.desired() == DesiredState.KEEP_COMPLETED) {
      return KEEP_UNTIL_DURABLE;
    }
    return switch (facts.reported()) {
      case UNREPORTED -> NOT_HEARD;
      case COMPLETED -> COMPLETED;
      // Its worker may have forgotten the exit since, and then have been told by an earlier leader
      // to start it again.
      case EXITED -> facts.record() == RecordOwner.EARLIER && facts.mayCome() ? MAY_COME : EXITED;
      case PRESENT -> facts.desired() == DesiredState.REMOVE ? UNWANTED : RUNS;
      case ABSENT -> absent(facts);
    };
  }

  private static TaskDecision unrecorded(TaskFacts facts) {
    return switch (facts.reported()) {
      case UNREPORTED, ABSENT -> NEVER_THERE;
      case PRESENT -> UNRECORDED;
      case COMPLETED, EXITED -> EXIT_RECORDED;
    };
  }

  private static TaskDecision absent(TaskFacts facts) {
    if (facts.desired() == DesiredState.REMOVE) {
      return facts.mayCome() ? MAY_COME : GIVEN_UP;
    }
    if (facts.seen() && !facts.mayCome()) {
      return HAS_GONE;
    }
    if (facts.desired() == DesiredState.MAY_RUN) {
      return RANK_UNKNOWN;
    }
    if (facts.record() == RecordOwner.EARLIER && facts.gangState() != GangState.GATHERING) {
      return absentFromGang(facts);
    }
    return facts.durable() ? MISSING : NOT_DURABLE;
  }

  /** A member of an earlier leader's gang may only join the others while they gather. */
  private static TaskDecision absentFromGang(TaskFacts facts) {
    if (facts.gangState() == GangState.UNKNOWN) {
      return GANG_UNHEARD;
    }
    return facts.mayCome() ? MAY_COME : GANG_RAN;
  }
}
