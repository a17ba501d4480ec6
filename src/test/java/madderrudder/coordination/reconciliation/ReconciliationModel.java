package madderrudder.coordination.reconciliation;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import madderrudder.coordination.reconciliation.ReconciliationModelState.Report;
import madderrudder.coordination.reconciliation.ReconciliationModelState.Start;
import madderrudder.coordination.reconciliation.ReconciliationModelState.TaskRecord;
import madderrudder.coordination.reconciliation.TaskFacts.DesiredState;
import madderrudder.coordination.reconciliation.TaskFacts.GangState;
import madderrudder.coordination.reconciliation.TaskFacts.RecordOwner;
import madderrudder.coordination.reconciliation.TaskFacts.ReportedState;

/**
 * A job of one or two tasks, two machines and leaders that follow one another, each ending at any
 * step: every course of events, with reports and direct starts that are held for as long as it
 * pleases, and come again as copies. What a leader concludes is asked of the very {@link
 * TaskReconciler} that the service uses. That a leader takes a lease for expired only once it has
 * is taken for granted here: {@code DelegationModel} explores that.
 */
final class ReconciliationModel {
  private static final int MACHINES = ReconciliationModelState.MACHINES;
  private static final int NONE = 0;
  private static final int PRESENT = 1;
  private static final int DONE = 2;
  private static final int EXITED = 3;

  /** A rule that is left out, to see that the exploration would tell. */
  enum Fault {
    NONE,
    TOKEN_IGNORED,
    DIRECT_STARTS_IGNORED,
    DONE_FORGOTTEN,
    TOKEN_NOT_RAISED
  }

  /** How much may happen in a course of events. */
  record Bounds(
      int tasks,
      int terms,
      int reports,
      int epochs,
      int attempts,
      int heldReports,
      int heldStarts,
      int copies,
      int exits,
      int states) {}

  private final Bounds bounds;
  private final Fault fault;
  private int explored;

  ReconciliationModel(Bounds bounds, Fault fault) {
    this.bounds = bounds;
    this.fault = fault;
  }

  private static int firstToken(int term) {
    return 100 * term;
  }

  int explored() {
    return explored;
  }

  /**
   * Explores until all states within the bounds are known, or as many as they allow; the first
   * broken rule, or null.
   */
  String explore() {
    Set<String> known = new HashSet<>();
    Deque<ReconciliationModelState> open = new ArrayDeque<>();
    ReconciliationModelState first = new ReconciliationModelState(bounds.tasks());
    known.add(first.key());
    open.add(first);
    while (!open.isEmpty() && known.size() < bounds.states()) {
      ReconciliationModelState state = open.poll();
      explored++;
      for (ReconciliationModelState next : after(state)) {
        if (next.broken != null) {
          return next.broken;
        }
        if (known.add(next.key())) {
          open.add(next);
        }
      }
    }
    return null;
  }

  /**
   * Follows so many random courses of events to their ends, far deeper than all of them can be
   * explored.
   */
  String walk(long seed, int courses, int steps) {
    SplittableRandom random = new SplittableRandom(seed);
    for (int course = 0; course < courses; course++) {
      ReconciliationModelState state = new ReconciliationModelState(bounds.tasks());
      for (int step = 0; step < steps; step++) {
        List<ReconciliationModelState> next = List.copyOf(after(state));
        if (next.isEmpty()) {
          break;
        }
        state = next.get(random.nextInt(next.size()));
        explored++;
        if (state.broken != null) {
          return state.broken;
        }
      }
    }
    return null;
  }

  private Deque<ReconciliationModelState> after(ReconciliationModelState s) {
    Deque<ReconciliationModelState> next = new ArrayDeque<>();
    for (int m = 0; m < MACHINES; m++) {
      reportSent(s, m, next);
      leaseExpires(s, m, next);
      leaseExpiryLearned(s, m, next);
      for (int t = 0; t < bounds.tasks(); t++) {
        taskPlaced(s, m, t, next);
        taskEnds(s, m, t, DONE, next);
        taskEnds(s, m, t, EXITED, next);
      }
    }
    for (int t = 0; t < bounds.tasks(); t++) {
      directStartSent(s, t, next);
      durable(s, t, next);
      doneDurable(s, t, next);
      endFlushed(s, t, next);
      preempted(s, t, next);
    }
    for (Report report : s.reports) {
      reportTaken(s, report, true, false, next);
      reportTaken(s, report, false, false, next);
      if (s.copies < bounds.copies()) {
        reportTaken(s, report, true, true, next);
      }
    }
    for (Start start : s.starts) {
      directStartArrives(s, start, false, next);
      if (s.copies < bounds.copies()) {
        directStartArrives(s, start, true, next);
      }
    }
    crash(s, next);
    return next;
  }

  private void reportSent(ReconciliationModelState s, int m, Deque<ReconciliationModelState> next) {
    if (s.workerSeq[m] < bounds.reports() && s.reports.size() < bounds.heldReports()) {
      ReconciliationModelState c = s.copy();
      c.workerSeq[m]++;
      c.reports.add(
          new Report(
              m,
              c.workerEpoch[m],
              c.workerSeq[m],
              c.workerToken[m],
              c.workerState[m].clone(),
              c.workerAttempt[m].clone()));
      next.add(c);
    }
  }

  private void leaseExpires(
      ReconciliationModelState s, int m, Deque<ReconciliationModelState> next) {
    if (s.workerEpoch[m] < bounds.epochs()) {
      ReconciliationModelState c = s.copy();
      c.workerEpoch[m]++;
      Arrays.fill(c.workerState[m], NONE);
      next.add(c);
    }
  }

  /** The leader has waited for longer than any lease lasts. */
  private void leaseExpiryLearned(
      ReconciliationModelState s, int m, Deque<ReconciliationModelState> next) {
    if (s.workerEpoch[m] > s.lastCountedEpoch[m]) {
      ReconciliationModelState c = s.copy();
      c.lastCountedEpoch[m] = c.workerEpoch[m];
      for (int t = 0; t < bounds.tasks(); t++) {
        if (c.placed[t].machine == m) {
          c.placed[t] = new TaskRecord();
        }
        c.orphaned[m][t] = false;
      }
      next.add(c);
    }
  }

  private void taskPlaced(
      ReconciliationModelState s, int m, int t, Deque<ReconciliationModelState> next) {
    boolean orphaned = s.orphaned[0][t] || s.orphaned[1][t];
    if (s.placed[t].machine < 0
        && !s.done[t]
        && s.reported[m]
        && s.attempts < bounds.attempts()
        && !orphaned) {
      ReconciliationModelState c = s.copy();
      c.placed[t].machine = m;
      c.placed[t].attempt = 10 * c.term + ++c.attempts;
      next.add(c);
    }
  }

  /** Written together with the end of whatever was placed before. */
  private void durable(ReconciliationModelState s, int t, Deque<ReconciliationModelState> next) {
    TaskRecord placed = s.placed[t];
    if (placed.machine >= 0 && !placed.durable && !placed.inherited) {
      ReconciliationModelState c = s.copy();
      c.placed[t].durable = true;
      c.logMachine[t] = placed.machine;
      c.logAttempt[t] = placed.attempt;
      next.add(c);
    }
  }

  private void endFlushed(ReconciliationModelState s, int t, Deque<ReconciliationModelState> next) {
    if (s.placed[t].machine < 0 && s.logMachine[t] >= 0) {
      ReconciliationModelState c = s.copy();
      c.logMachine[t] = -1;
      c.logAttempt[t] = 0;
      next.add(c);
    }
  }

  private void preempted(ReconciliationModelState s, int t, Deque<ReconciliationModelState> next) {
    if (!s.preempted && s.placed[t].machine >= 0 && !s.placed[t].evicting) {
      ReconciliationModelState c = s.copy();
      c.preempted = true;
      c.placed[t].evicting = true;
      next.add(c);
    }
  }

  /** A task completes, or fails. */
  private void taskEnds(
      ReconciliationModelState s, int m, int t, int phase, Deque<ReconciliationModelState> next) {
    if (s.workerState[m][t] == PRESENT && (phase == DONE || s.exits < bounds.exits())) {
      ReconciliationModelState c = s.copy();
      c.workerState[m][t] = phase;
      c.exits += phase == EXITED ? 1 : 0;
      next.add(c);
    }
  }

  private void doneDurable(
      ReconciliationModelState s, int t, Deque<ReconciliationModelState> next) {
    if (s.placed[t].keepCompleted) {
      ReconciliationModelState c = s.copy();
      c.logDone[t] = true;
      c.placed[t] = new TaskRecord();
      next.add(c);
    }
  }

  /** The leader ends, and the next reads what the store has. */
  private void crash(ReconciliationModelState s, Deque<ReconciliationModelState> next) {
    if (s.term < bounds.terms()) {
      ReconciliationModelState c = s.copy();
      c.term++;
      c.attempts = 0;
      c.sequence = new int[] {-1, -1};
      c.reported = new boolean[MACHINES];
      c.issuedToken = new int[MACHINES];
      c.orphaned = new boolean[MACHINES][bounds.tasks()];
      c.lastCountedEpoch = c.workerEpoch.clone();
      for (int t = 0; t < bounds.tasks(); t++) {
        c.done[t] = c.logDone[t];
        c.placed[t] = new TaskRecord();
        if (c.logMachine[t] >= 0) {
          c.placed[t].machine = c.logMachine[t];
          c.placed[t].attempt = c.logAttempt[t];
          c.placed[t].inherited = true;
          c.placed[t].durable = true;
          c.placed[t].evicting = c.done[t];
        }
      }
      next.add(c);
    }
  }

  private static ReportedState reportedState(ReconciliationModelState s, TaskRecord placed) {
    if (!s.reported[placed.machine]) {
      return ReportedState.UNREPORTED;
    }
    return placed.reportedSequence == s.sequence[placed.machine]
        ? ReportedState.PRESENT
        : ReportedState.ABSENT;
  }

  private static DesiredState desiredState(TaskRecord placed) {
    if (placed.keepCompleted) {
      return DesiredState.KEEP_COMPLETED;
    }
    return placed.evicting ? DesiredState.REMOVE : DesiredState.RUN;
  }

  private TaskDecision decision(ReconciliationModelState s, int t) {
    TaskRecord placed = s.placed[t];
    int m = placed.machine;
    boolean mayCome =
        (placed.directToken >= s.token[m] && fault != Fault.DIRECT_STARTS_IGNORED)
            || placed.startSequence >= s.sequence[m]
            || (placed.inherited
                && s.token[m] < firstToken(s.term)
                && fault != Fault.TOKEN_IGNORED);
    return TaskReconciler.of(
        new TaskFacts(
            placed.inherited ? RecordOwner.EARLIER : RecordOwner.OWN,
            desiredState(placed),
            reportedState(s, placed),
            mayCome,
            placed.seen,
            placed.durable,
            GangState.GATHERING));
  }

  /**
   * The leader takes a report, of which another copy may come later; its answer arrives, or does
   * not.
   */
  private void reportTaken(
      ReconciliationModelState s,
      Report report,
      boolean answered,
      boolean asCopy,
      Deque<ReconciliationModelState> next) {
    int m = report.machine();
    ReconciliationModelState c = s.copy();
    if (asCopy) {
      c.copies++;
    } else {
      c.reports.remove(report);
    }
    next.add(c);
    if (c.reported[m]
        && (report.epoch() < c.epoch[m]
            || (report.epoch() == c.epoch[m] && report.sequence() <= c.sequence[m]))) {
      return;
    }
    if (c.reported[m] && report.epoch() > c.epoch[m]) {
      newEpoch(c, m);
    }
    // Whether or not its answer arrives, the leader counts the worker's lease from now on.
    c.lastCountedEpoch[m] = c.workerEpoch[m];
    c.reported[m] = true;
    c.epoch[m] = report.epoch();
    c.sequence[m] = report.sequence();
    c.token[m] = report.token();
    for (int t = 0; t < bounds.tasks(); t++) {
      TaskRecord placed = c.placed[t];
      boolean named = placed.machine == m && placed.attempt == report.attempts()[t];
      c.orphaned[m][t] = !named && report.states()[t] == PRESENT;
      if (named && report.states()[t] != NONE) {
        placed.reportedSequence = report.sequence();
        if (report.states()[t] == EXITED) {
          if (exit(c, t).verdict() == TaskDecision.Verdict.RECORD_EXIT) {
            c.placed[t] = new TaskRecord();
          }
          continue;
        }
        placed.seen = true;
        if (report.states()[t] == DONE && !placed.keepCompleted) {
          placed.keepCompleted = true;
          c.done[t] = true;
        }
      }
    }
    for (int t = 0; t < bounds.tasks(); t++) {
      if (c.placed[t].machine == m && decision(c, t).verdict() == TaskDecision.Verdict.GONE) {
        c.placed[t] = new TaskRecord();
      }
    }
    if (answered) {
      answer(c, report);
    } else {
      // What it would have carried counts as sent.
      for (int t = 0; t < bounds.tasks(); t++) {
        if (c.placed[t].machine == m && decision(c, t).verdict() == TaskDecision.Verdict.START) {
          c.placed[t].startSequence = report.sequence();
        }
      }
    }
  }

  private TaskDecision exit(ReconciliationModelState s, int t) {
    TaskRecord placed = s.placed[t];
    boolean mayCome = placed.inherited && s.token[placed.machine] < firstToken(s.term);
    return TaskReconciler.of(
        new TaskFacts(
            placed.inherited ? RecordOwner.EARLIER : RecordOwner.OWN,
            placed.evicting ? DesiredState.REMOVE : DesiredState.RUN,
            ReportedState.EXITED,
            mayCome,
            true,
            placed.durable,
            GangState.GATHERING));
  }

  private void newEpoch(ReconciliationModelState c, int m) {
    for (int t = 0; t < bounds.tasks(); t++) {
      TaskRecord placed = c.placed[t];
      if (placed.machine != m) {
        continue;
      }
      if (!placed.inherited) {
        c.placed[t] = new TaskRecord();
      } else {
        placed.reportedSequence = -1;
        placed.startSequence = -1;
        placed.directToken = -1;
      }
    }
  }

  /**
   * A direct start of this term that its worker may still obey makes way before anything is
   * forgotten or waited for.
   */
  private int tokenFor(ReconciliationModelState c, Report report) {
    int m = report.machine();
    c.issuedToken[m] =
        Math.max(
            c.issuedToken[m],
            Math.max(firstToken(c.term), c.token[m] / 100 == c.term ? c.token[m] : 0));
    boolean raise = false;
    for (int t = 0; t < bounds.tasks(); t++) {
      boolean named = c.placed[t].machine == m && c.placed[t].attempt == report.attempts()[t];
      raise |= !named && (report.states()[t] == DONE || report.states()[t] == EXITED);
      raise |=
          c.placed[t].machine == m
              && c.placed[t].directToken >= c.token[m]
              && decision(c, t).verdict() == TaskDecision.Verdict.AWAIT;
    }
    if (raise && fault != Fault.TOKEN_NOT_RAISED && c.issuedToken[m] < firstToken(c.term) + 3) {
      c.issuedToken[m]++;
    }
    return c.issuedToken[m];
  }

  private static ReportedState reportedStateOfOrphan(int state) {
    return switch (state) {
      case DONE -> ReportedState.COMPLETED;
      case EXITED -> ReportedState.EXITED;
      default -> ReportedState.PRESENT;
    };
  }

  private void answer(ReconciliationModelState c, Report report) {
    int m = report.machine();
    int token = tokenFor(c, report);
    boolean heeded =
        c.workerSeq[m] == report.sequence()
            && c.workerEpoch[m] == report.epoch()
            && c.workerToken[m] <= token;
    c.workerToken[m] = heeded ? token : c.workerToken[m];
    for (int t = 0; t < bounds.tasks(); t++) {
      TaskRecord placed = c.placed[t];
      boolean named = placed.machine == m && placed.attempt == report.attempts()[t];
      if (report.states()[t] != NONE && !named) {
        TaskDecision.Verdict verdict =
            TaskReconciler.of(
                    new TaskFacts(
                        RecordOwner.NONE,
                        DesiredState.REMOVE,
                        reportedStateOfOrphan(report.states()[t]),
                        false,
                        true,
                        true,
                        GangState.GATHERING))
                .verdict();
        boolean forgets = verdict == TaskDecision.Verdict.FORGET;
        if (heeded
            && c.workerAttempt[m][t] == report.attempts()[t]
            && (forgets
                || (verdict == TaskDecision.Verdict.STOP && c.workerState[m][t] == PRESENT))) {
          c.workerState[m][t] = NONE;
        }
      }
      if (placed.machine != m) {
        continue;
      }
      TaskDecision.Verdict verdict = decision(c, t).verdict();
      if (verdict == TaskDecision.Verdict.START) {
        placed.startSequence = report.sequence();
        if (heeded) {
          begin(c, m, t, placed.attempt);
        }
      } else if (verdict == TaskDecision.Verdict.STOP
          && heeded
          && c.workerAttempt[m][t] == placed.attempt
          && c.workerState[m][t] == PRESENT) {
        c.workerState[m][t] = NONE;
      }
      if (fault == Fault.DONE_FORGOTTEN && placed.keepCompleted && heeded) {
        c.workerState[m][t] = NONE;
      }
    }
    lostDone(c);
  }

  /**
   * A completed task must be kept by its worker or by the store; here it is lost only by the end of
   * a lease.
   */
  private void lostDone(ReconciliationModelState c) {
    for (int t = 0; t < bounds.tasks(); t++) {
      TaskRecord placed = c.placed[t];
      if (placed.keepCompleted
          && !c.logDone[t]
          && c.workerEpoch[placed.machine] == c.epoch[placed.machine]
          && c.workerState[placed.machine][t] != DONE
          && placed.reportedSequence == c.sequence[placed.machine]) {
        c.broken = "a completed task is kept nowhere";
      }
    }
  }

  private void directStartSent(
      ReconciliationModelState s, int t, Deque<ReconciliationModelState> next) {
    TaskRecord placed = s.placed[t];
    if (placed.machine >= 0
        && placed.directToken < 0
        && placed.startSequence < 0
        && s.starts.size() < bounds.heldStarts()
        && decision(s, t).verdict() == TaskDecision.Verdict.START) {
      ReconciliationModelState c = s.copy();
      int m = placed.machine;
      c.issuedToken[m] =
          Math.max(
              c.issuedToken[m],
              Math.max(firstToken(c.term), c.token[m] / 100 == c.term ? c.token[m] : 0));
      c.placed[t].directToken = c.issuedToken[m];
      c.starts.add(new Start(m, c.issuedToken[m], c.epoch[m], t, placed.attempt));
      next.add(c);
    }
  }

  /**
   * A direct start, or a copy, is executed or refused, and answered with the worker's state; its
   * leader takes that, or never hears it.
   */
  private void directStartArrives(
      ReconciliationModelState s,
      Start start,
      boolean asCopy,
      Deque<ReconciliationModelState> next) {
    int m = start.machine();
    int t = start.task();
    ReconciliationModelState c = s.copy();
    if (asCopy) {
      c.copies++;
    } else {
      c.starts.remove(start);
    }
    c.workerSeq[m]++;
    boolean executed = c.workerToken[m] <= start.token() && c.workerEpoch[m] == start.epoch();
    if (executed) {
      c.workerToken[m] = start.token();
      begin(c, m, t, start.attempt());
    }
    next.add(c);
    TaskRecord placed = c.placed[t];
    if (c.term == start.token() / 100 && placed.machine == m && placed.attempt == start.attempt()) {
      ReconciliationModelState answered = c.copy();
      placed = answered.placed[t];
      placed.directToken = executed ? placed.directToken : -1;
      if (executed
          && answered.epoch[m] == start.epoch()
          && answered.workerSeq[m] > answered.sequence[m]) {
        answered.sequence[m] = answered.workerSeq[m];
        placed.startSequence = Math.max(placed.startSequence, answered.sequence[m]);
        answered.token[m] = Math.max(answered.token[m], answered.workerToken[m]);
        if (answered.workerState[m][t] == PRESENT
            && answered.workerAttempt[m][t] == placed.attempt) {
          placed.reportedSequence = answered.sequence[m];
          placed.seen = true;
        }
      }
      next.add(answered);
    }
  }

  private void begin(ReconciliationModelState c, int m, int t, int attempt) {
    if (c.workerState[m][t] != NONE) {
      return;
    }
    c.workerState[m][t] = PRESENT;
    c.workerAttempt[m][t] = attempt;
    for (int other = 0; other < MACHINES; other++) {
      if (other != m && c.workerState[other][t] == PRESENT) {
        c.broken = "ran_twice";
      }
    }
  }
}
