package madderrudder.coordination.recovery;

import madderrudder.coordination.recovery.Finding.Verdict;
import madderrudder.coordination.recovery.TaskFacts.Mates;
import madderrudder.coordination.recovery.TaskFacts.Record;
import madderrudder.coordination.recovery.TaskFacts.Wish;

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
public final class Squaring {
  private static final Finding NOT_HEARD =
      new Finding(Verdict.AWAIT, "its machine has not been heard in this term");
  private static final Finding UNRECORDED = new Finding(Verdict.STOP, "no record names it there");
  private static final Finding NEVER_THERE =
      new Finding(Verdict.KEEP, "no record names it there, and it is not there");
  private static final Finding OVER =
      new Finding(Verdict.FORGET, "it has exited, and that is recorded");
  private static final Finding KEPT =
      new Finding(Verdict.AWAIT, "it is kept until its completion is durable");
  private static final Finding COMPLETED = new Finding(Verdict.RECORD_DONE, "it has completed");
  private static final Finding EXITED = new Finding(Verdict.RECORD_EXIT, "it has exited");
  private static final Finding RUNS = new Finding(Verdict.KEEP, "it is where it shall be");
  private static final Finding UNWANTED =
      new Finding(Verdict.STOP, "it shall not be there any more");
  private static final Finding MAY_COME =
      new Finding(Verdict.AWAIT, "a command to start it may still come");
  private static final Finding NOT_DURABLE =
      new Finding(Verdict.AWAIT, "its record is not durable yet");
  private static final Finding LACKING =
      new Finding(Verdict.START, "it is recorded there and lacking");
  private static final Finding UNDECIDED =
      new Finding(Verdict.AWAIT, "what comes before it is not known before enough is heard");
  private static final Finding LEFT =
      new Finding(Verdict.GONE, "it was there, has gone, and can't come back");
  private static final Finding GIVEN_UP =
      new Finding(Verdict.GONE, "it is not wanted, and can't come");
  private static final Finding GANG_RAN =
      new Finding(Verdict.GONE, "its gang ran without it, and can't take it back");
  private static final Finding GANG_UNHEARD =
      new Finding(
          Verdict.AWAIT, "whether its gang has run is not known before the mates are heard");

  private Squaring() {}

  /** What follows from the facts. */
  public static Finding of(TaskFacts facts) {
    if (facts.record() == Record.NONE) {
      return unrecorded(facts);
    }
    if (facts.wish() == Wish.KEPT_DONE) {
      return KEPT;
    }
    return switch (facts.told()) {
      case NOTHING -> NOT_HEARD;
      case DONE -> COMPLETED;
      // Its worker may have forgotten the exit since, and then been told by an earlier leader to
      // start it again.
      case EXITED -> facts.record() == Record.EARLIER && facts.mayCome() ? MAY_COME : EXITED;
      case HELD -> facts.wish() == Wish.GO ? UNWANTED : RUNS;
      case ABSENT -> absent(facts);
    };
  }

  private static Finding unrecorded(TaskFacts facts) {
    return switch (facts.told()) {
      case NOTHING, ABSENT -> NEVER_THERE;
      case HELD -> UNRECORDED;
      case DONE, EXITED -> OVER;
    };
  }

  private static Finding absent(TaskFacts facts) {
    if (facts.wish() == Wish.GO) {
      return facts.mayCome() ? MAY_COME : GIVEN_UP;
    }
    if (facts.seen() && !facts.mayCome()) {
      return LEFT;
    }
    if (facts.wish() == Wish.MAY_STAY) {
      return UNDECIDED;
    }
    // An earlier leader's gang: a member that is lacking joins its mates only while they gather.
    if (facts.record() == Record.EARLIER && facts.gang() != Mates.GATHER) {
      return facts.gang() == Mates.UNHEARD ? GANG_UNHEARD : facts.mayCome() ? MAY_COME : GANG_RAN;
    }
    return facts.durable() ? LACKING : NOT_DURABLE;
  }
}
