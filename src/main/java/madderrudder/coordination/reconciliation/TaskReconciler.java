package madderrudder.coordination.reconciliation;

import madderrudder.coordination.reconciliation.TaskDecision.Verdict;
import madderrudder.coordination.reconciliation.TaskFacts.DesiredState;
import madderrudder.coordination.reconciliation.TaskFacts.GangState;
import madderrudder.coordination.reconciliation.TaskFacts.RecordOwner;

/**
 * Squares what the records say with what workers report, attempt by attempt: a pure function, and
 * the whole of it. Whoever leads asks it of each report, after a start of all controllers as on an
 * ordinary day.
 *
 * <p>Two facts carry it. A worker executes no command of an earlier term once it has seen this
 * one's token, so that from then on what it lacks can't come. And it kills what it has when its
 * lease ends, in another session: what is recorded there and absent may be started in place, with
 * its image, without a write.
 */
public final class TaskReconciler {
  private static final TaskDecision NOT_HEARD =
      new TaskDecision(Verdict.AWAIT, "its machine has not been heard in this term");
  private static final TaskDecision UNRECORDED =
      new TaskDecision(Verdict.STOP, "no record names it there");
  private static final TaskDecision NEVER_THERE =
      new TaskDecision(Verdict.KEEP, "no record names it there, and it is not there");
  private static final TaskDecision OVER =
      new TaskDecision(Verdict.FORGET, "it has exited, and that is recorded");
  private static final TaskDecision KEPT =
      new TaskDecision(Verdict.AWAIT, "it is kept until its completion is durable");
  private static final TaskDecision COMPLETED =
      new TaskDecision(Verdict.RECORD_DONE, "it has completed");
  private static final TaskDecision EXITED = new TaskDecision(Verdict.RECORD_EXIT, "it has exited");
  private static final TaskDecision RUNS =
      new TaskDecision(Verdict.KEEP, "it is where it shall be");
  private static final TaskDecision UNWANTED =
      new TaskDecision(Verdict.STOP, "it shall not be there any more");
  private static final TaskDecision MAY_COME =
      new TaskDecision(Verdict.AWAIT, "a command to start it may still come");
  private static final TaskDecision NOT_DURABLE =
      new TaskDecision(Verdict.AWAIT, "its record is not durable yet");
  private static final TaskDecision LACKING =
      new TaskDecision(Verdict.START, "it is recorded there and lacking");
  private static final TaskDecision UNDECIDED =
      new TaskDecision(Verdict.AWAIT, "what comes before it is not known before enough is heard");
  private static final TaskDecision LEFT =
      new TaskDecision(Verdict.GONE, "it was there, has gone, and can't come back");
  private static final TaskDecision GIVEN_UP =
      new TaskDecision(Verdict.GONE, "it is not wanted, and can't come");
  private static final TaskDecision GANG_RAN =
      new TaskDecision(Verdict.GONE, "its gang ran without it, and can't take it back");
  private static final TaskDecision GANG_UNHEARD =
      new TaskDecision(
          Verdict.AWAIT, "whether its gang has run is not known before the mates are heard");

  private TaskReconciler() {}

  /** What follows from the facts. */
  public static TaskDecision of(TaskFacts facts) {
    if (facts.record() == RecordOwner.NONE) {
      return unrecorded(facts);
    }
    if (facts.wish() == DesiredState.KEEP_COMPLETED) {
      return KEPT;
    }
    return switch (facts.told()) {
      case UNREPORTED -> NOT_HEARD;
      case COMPLETED -> COMPLETED;
      // Its worker may have forgotten the exit since, and then been told by an earlier leader to
      // start it again.
      case EXITED -> facts.record() == RecordOwner.EARLIER && facts.mayCome() ? MAY_COME : EXITED;
      case PRESENT -> facts.wish() == DesiredState.REMOVE ? UNWANTED : RUNS;
      case ABSENT -> absent(facts);
    };
  }

  private static TaskDecision unrecorded(TaskFacts facts) {
    return switch (facts.told()) {
      case UNREPORTED, ABSENT -> NEVER_THERE;
      case PRESENT -> UNRECORDED;
      case COMPLETED, EXITED -> OVER;
    };
  }

  private static TaskDecision absent(TaskFacts facts) {
    if (facts.wish() == DesiredState.REMOVE) {
      return facts.mayCome() ? MAY_COME : GIVEN_UP;
    }
    if (facts.seen() && !facts.mayCome()) {
      return LEFT;
    }
    if (facts.wish() == DesiredState.MAY_RUN) {
      return UNDECIDED;
    }
    // An earlier leader's gang: a member that is lacking joins its mates only while they gather.
    if (facts.record() == RecordOwner.EARLIER && facts.gang() != GangState.GATHERING) {
      return facts.gang() == GangState.UNKNOWN
          ? GANG_UNHEARD
          : facts.mayCome() ? MAY_COME : GANG_RAN;
    }
    return facts.durable() ? LACKING : NOT_DURABLE;
  }
}
