package madderrudder.coordination.reconciliation;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import madderrudder.coordination.reconciliation.TaskFacts.DesiredState;
import madderrudder.coordination.reconciliation.TaskFacts.GangState;
import madderrudder.coordination.reconciliation.TaskFacts.RecordOwner;
import madderrudder.coordination.reconciliation.TaskFacts.ReportedState;

/**
 * A job of one or two tasks, two machines and leaders that follow one another, each ending at any
 * step: every course of events, with reports and direct starts that are held for as long as it
 * pleases, and come again as copies. What a leader concludes is asked of the very {@link
 * TaskReconciler} that the service uses. That a leader takes a lease for ended only once it has is
 * taken for granted here: {@code DelegationModel} explores that.
 */
final class ReconciliationModel {
  private static final int MACHINES = 2;
  private static final int NONE = 0;
  private static final int HELD = 1;
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
      int sessions,
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

  /** A leader's record of a task. */
  private static final class Placed implements Cloneable {
    int machine = -1;
    int attempt;
    boolean inherited;
    boolean durable;
    boolean seen;
    int direct = -1;
    boolean unwanted;
    boolean kept;
    int startSeq = -1;
    int reportedSeq = -1;

    @Override
    public Placed clone() {
      try {
        return (Placed) super.clone();
      } catch (CloneNotSupportedException e) {
        throw new AssertionError(e);
      }
    }

    String key() {
      return machine < 0
          ? "-"
          : machine
              + "."
              + attempt
              + (inherited ? "i" : "")
              + (durable ? "d" : "")
              + (seen ? "s" : "")
              + direct
              + (unwanted ? "u" : "")
              + (kept ? "k" : "")
              + startSeq
              + ","
              + reportedSeq;
    }
  }

  /** A report on its way: machine, session, seq, token, and state and attempt of each task. */
  private record Report(
      int machine, int session, int seq, int token, int[] states, int[] attempts) {
    String key() {
      return machine
          + ","
          + session
          + ","
          + seq
          + ","
          + token
          + Arrays.toString(states)
          + Arrays.toString(attempts);
    }
  }

  /** A direct start on its way. */
  private record Start(int machine, int token, int session, int task, int attempt) {}

  private static int firstToken(int term) {
    return 100 * term;
  }

  private static final class State {
    final int tasks;
    int term = 1;
    int attempts;
    boolean preempted;
    int copies;
    int exits;
    // The store.
    int[] logMachine;
    int[] logAttempt;
    boolean[] logDone;
    // The leader.
    Placed[] placed;
    boolean[] done;
    boolean[] reported = new boolean[MACHINES];
    int[] session = new int[MACHINES];
    int[] seq = {-1, -1};
    int[] token = new int[MACHINES];
    int[] given = new int[MACHINES];
    boolean[][] stray;
    int[] base = new int[MACHINES];
    // Workers.
    int[] wSession = new int[MACHINES];
    int[] wSeq = new int[MACHINES];
    int[] wToken = new int[MACHINES];
    int[][] wState;
    int[][] wAttempt;
    // On the way.
    Deque<Report> reports = new ArrayDeque<>();
    Deque<Start> starts = new ArrayDeque<>();
    String broken;

    State(int tasks) {
      this.tasks = tasks;
      logMachine = new int[tasks];
      Arrays.fill(logMachine, -1);
      logAttempt = new int[tasks];
      logDone = new boolean[tasks];
      placed = new Placed[tasks];
      Arrays.setAll(placed, t -> new Placed());
      done = new boolean[tasks];
      stray = new boolean[MACHINES][tasks];
      wState = new int[MACHINES][tasks];
      wAttempt = new int[MACHINES][tasks];
    }

    State copy() {
      State c = new State(tasks);
      c.term = term;
      c.attempts = attempts;
      c.preempted = preempted;
      c.copies = copies;
      c.exits = exits;
      c.given = given.clone();
      c.logMachine = logMachine.clone();
      c.logAttempt = logAttempt.clone();
      c.logDone = logDone.clone();
      for (int t = 0; t < tasks; t++) {
        c.placed[t] = placed[t].clone();
      }
      c.done = done.clone();
      c.reported = reported.clone();
      c.session = session.clone();
      c.seq = seq.clone();
      c.token = token.clone();
      c.base = base.clone();
      c.wSession = wSession.clone();
      c.wSeq = wSeq.clone();
      c.wToken = wToken.clone();
      for (int m = 0; m < MACHINES; m++) {
        c.stray[m] = stray[m].clone();
        c.wState[m] = wState[m].clone();
        c.wAttempt[m] = wAttempt[m].clone();
      }
      c.reports = new ArrayDeque<>(reports);
      c.starts = new ArrayDeque<>(starts);
      return c;
    }

    String key() {
      StringBuilder key = new StringBuilder();
      key.append(term)
          .append(attempts)
          .append(',')
          .append(copies)
          .append(exits)
          .append(Arrays.toString(given))
          .append(preempted ? "p" : "")
          .append(Arrays.toString(logMachine))
          .append(Arrays.toString(logAttempt))
          .append(Arrays.toString(logDone))
          .append(Arrays.toString(done));
      for (Placed one : placed) {
        key.append(one.key()).append(';');
      }
      key.append(Arrays.toString(reported))
          .append(Arrays.toString(session))
          .append(Arrays.toString(seq))
          .append(Arrays.toString(token))
          .append(Arrays.deepToString(stray))
          .append(Arrays.toString(base))
          .append(Arrays.toString(wSession))
          .append(Arrays.toString(wSeq))
          .append(Arrays.toString(wToken))
          .append(Arrays.deepToString(wState))
          .append(Arrays.deepToString(wAttempt));
      // In no order: what is on its way may arrive in any.
      reports.stream().map(Report::key).sorted().forEach(key::append);
      starts.stream().map(Start::toString).sorted().forEach(key::append);
      return key.toString();
    }
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
    Deque<State> open = new ArrayDeque<>();
    State first = new State(bounds.tasks());
    known.add(first.key());
    open.add(first);
    while (!open.isEmpty() && known.size() < bounds.states()) {
      State state = open.poll();
      explored++;
      for (State next : after(state)) {
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
      State state = new State(bounds.tasks());
      for (int step = 0; step < steps; step++) {
        List<State> next = List.copyOf(after(state));
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

  private Deque<State> after(State s) {
    Deque<State> next = new ArrayDeque<>();
    for (int m = 0; m < MACHINES; m++) {
      reportSent(s, m, next);
      leaseEnds(s, m, next);
      lapseLearned(s, m, next);
      for (int t = 0; t < bounds.tasks(); t++) {
        place(s, m, t, next);
        ends(s, m, t, DONE, next);
        ends(s, m, t, EXITED, next);
      }
    }
    for (int t = 0; t < bounds.tasks(); t++) {
      pushed(s, t, next);
      durable(s, t, next);
      doneDurable(s, t, next);
      endFlushed(s, t, next);
      preempted(s, t, next);
    }
    for (Report report : s.reports) {
      taken(s, report, true, false, next);
      taken(s, report, false, false, next);
      if (s.copies < bounds.copies()) {
        taken(s, report, true, true, next);
      }
    }
    for (Start start : s.starts) {
      arrives(s, start, false, next);
      if (s.copies < bounds.copies()) {
        arrives(s, start, true, next);
      }
    }
    crash(s, next);
    return next;
  }

  private void reportSent(State s, int m, Deque<State> next) {
    if (s.wSeq[m] < bounds.reports() && s.reports.size() < bounds.heldReports()) {
      State c = s.copy();
      c.wSeq[m]++;
      c.reports.add(
          new Report(
              m,
              c.wSession[m],
              c.wSeq[m],
              c.wToken[m],
              c.wState[m].clone(),
              c.wAttempt[m].clone()));
      next.add(c);
    }
  }

  private void leaseEnds(State s, int m, Deque<State> next) {
    if (s.wSession[m] < bounds.sessions()) {
      State c = s.copy();
      c.wSession[m]++;
      Arrays.fill(c.wState[m], NONE);
      next.add(c);
    }
  }

  /** The leader has waited for longer than any lease lasts. */
  private void lapseLearned(State s, int m, Deque<State> next) {
    if (s.wSession[m] > s.base[m]) {
      State c = s.copy();
      c.base[m] = c.wSession[m];
      for (int t = 0; t < bounds.tasks(); t++) {
        if (c.placed[t].machine == m) {
          c.placed[t] = new Placed();
        }
        c.stray[m][t] = false;
      }
      next.add(c);
    }
  }

  private void place(State s, int m, int t, Deque<State> next) {
    boolean orphaned = s.stray[0][t] || s.stray[1][t];
    if (s.placed[t].machine < 0
        && !s.done[t]
        && s.reported[m]
        && s.attempts < bounds.attempts()
        && !orphaned) {
      State c = s.copy();
      c.placed[t].machine = m;
      c.placed[t].attempt = 10 * c.term + ++c.attempts;
      next.add(c);
    }
  }

  /** Written together with the end of whatever was placed before. */
  private void durable(State s, int t, Deque<State> next) {
    Placed placed = s.placed[t];
    if (placed.machine >= 0 && !placed.durable && !placed.inherited) {
      State c = s.copy();
      c.placed[t].durable = true;
      c.logMachine[t] = placed.machine;
      c.logAttempt[t] = placed.attempt;
      next.add(c);
    }
  }

  private void endFlushed(State s, int t, Deque<State> next) {
    if (s.placed[t].machine < 0 && s.logMachine[t] >= 0) {
      State c = s.copy();
      c.logMachine[t] = -1;
      c.logAttempt[t] = 0;
      next.add(c);
    }
  }

  private void preempted(State s, int t, Deque<State> next) {
    if (!s.preempted && s.placed[t].machine >= 0 && !s.placed[t].unwanted) {
      State c = s.copy();
      c.preempted = true;
      c.placed[t].unwanted = true;
      next.add(c);
    }
  }

  /** A task completes, or fails. */
  private void ends(State s, int m, int t, int how, Deque<State> next) {
    if (s.wState[m][t] == HELD && (how == DONE || s.exits < bounds.exits())) {
      State c = s.copy();
      c.wState[m][t] = how;
      c.exits += how == EXITED ? 1 : 0;
      next.add(c);
    }
  }

  private void doneDurable(State s, int t, Deque<State> next) {
    if (s.placed[t].kept) {
      State c = s.copy();
      c.logDone[t] = true;
      c.placed[t] = new Placed();
      next.add(c);
    }
  }

  /** The leader ends, and the next reads what the store has. */
  private void crash(State s, Deque<State> next) {
    if (s.term < bounds.terms()) {
      State c = s.copy();
      c.term++;
      c.attempts = 0;
      c.seq = new int[] {-1, -1};
      c.reported = new boolean[MACHINES];
      c.given = new int[MACHINES];
      c.stray = new boolean[MACHINES][bounds.tasks()];
      c.base = c.wSession.clone();
      for (int t = 0; t < bounds.tasks(); t++) {
        c.done[t] = c.logDone[t];
        c.placed[t] = new Placed();
        if (c.logMachine[t] >= 0) {
          c.placed[t].machine = c.logMachine[t];
          c.placed[t].attempt = c.logAttempt[t];
          c.placed[t].inherited = true;
          c.placed[t].durable = true;
          c.placed[t].unwanted = c.done[t];
        }
      }
      next.add(c);
    }
  }

  private TaskDecision finding(State s, int t) {
    Placed placed = s.placed[t];
    int m = placed.machine;
    boolean mayCome =
        (placed.direct >= s.token[m] && fault != Fault.DIRECT_STARTS_IGNORED)
            || placed.startSeq >= s.seq[m]
            || (placed.inherited
                && s.token[m] < firstToken(s.term)
                && fault != Fault.TOKEN_IGNORED);
    ReportedState told =
        !s.reported[m]
            ? ReportedState.UNREPORTED
            : placed.reportedSeq == s.seq[m] ? ReportedState.PRESENT : ReportedState.ABSENT;
    return TaskReconciler.of(
        new TaskFacts(
            placed.inherited ? RecordOwner.EARLIER : RecordOwner.OWN,
            placed.kept
                ? DesiredState.KEEP_COMPLETED
                : placed.unwanted ? DesiredState.REMOVE : DesiredState.RUN,
            told,
            mayCome,
            placed.seen,
            placed.durable,
            GangState.GATHERING));
  }

  /**
   * The leader takes a report, of which another copy may come later; its answer arrives, or does
   * not.
   */
  private void taken(State s, Report report, boolean answered, boolean again, Deque<State> next) {
    int m = report.machine();
    State c = s.copy();
    if (again) {
      c.copies++;
    } else {
      c.reports.remove(report);
    }
    next.add(c);
    if (c.reported[m]
        && (report.session() < c.session[m]
            || (report.session() == c.session[m] && report.seq() <= c.seq[m]))) {
      return;
    }
    if (c.reported[m] && report.session() > c.session[m]) {
      newSession(c, m);
    }
    // Whether or not its answer arrives, the leader counts the worker's lease from now on.
    c.base[m] = c.wSession[m];
    c.reported[m] = true;
    c.session[m] = report.session();
    c.seq[m] = report.seq();
    c.token[m] = report.token();
    for (int t = 0; t < bounds.tasks(); t++) {
      Placed placed = c.placed[t];
      boolean named = placed.machine == m && placed.attempt == report.attempts()[t];
      c.stray[m][t] = !named && report.states()[t] == HELD;
      if (named && report.states()[t] != NONE) {
        placed.reportedSeq = report.seq();
        if (report.states()[t] == EXITED) {
          if (exit(c, t).verdict() == TaskDecision.Verdict.RECORD_EXIT) {
            c.placed[t] = new Placed();
          }
          continue;
        }
        placed.seen = true;
        if (report.states()[t] == DONE && !placed.kept) {
          placed.kept = true;
          c.done[t] = true;
        }
      }
    }
    for (int t = 0; t < bounds.tasks(); t++) {
      if (c.placed[t].machine == m && finding(c, t).verdict() == TaskDecision.Verdict.GONE) {
        c.placed[t] = new Placed();
      }
    }
    if (answered) {
      answer(c, report);
    } else {
      // What it would have carried counts as sent.
      for (int t = 0; t < bounds.tasks(); t++) {
        if (c.placed[t].machine == m && finding(c, t).verdict() == TaskDecision.Verdict.START) {
          c.placed[t].startSeq = report.seq();
        }
      }
    }
  }

  private TaskDecision exit(State s, int t) {
    Placed placed = s.placed[t];
    boolean mayCome = placed.inherited && s.token[placed.machine] < firstToken(s.term);
    return TaskReconciler.of(
        new TaskFacts(
            placed.inherited ? RecordOwner.EARLIER : RecordOwner.OWN,
            placed.unwanted ? DesiredState.REMOVE : DesiredState.RUN,
            ReportedState.EXITED,
            mayCome,
            true,
            placed.durable,
            GangState.GATHERING));
  }

  private void newSession(State c, int m) {
    for (int t = 0; t < bounds.tasks(); t++) {
      Placed placed = c.placed[t];
      if (placed.machine != m) {
        continue;
      }
      if (!placed.inherited) {
        c.placed[t] = new Placed();
      } else {
        placed.reportedSeq = -1;
        placed.startSeq = -1;
        placed.direct = -1;
      }
    }
  }

  /**
   * A direct start of this term that its worker may still obey makes way before anything is
   * forgotten or waited for.
   */
  private int tokenFor(State c, Report report) {
    int m = report.machine();
    c.given[m] =
        Math.max(
            c.given[m], Math.max(firstToken(c.term), c.token[m] / 100 == c.term ? c.token[m] : 0));
    boolean raise = false;
    for (int t = 0; t < bounds.tasks(); t++) {
      boolean named = c.placed[t].machine == m && c.placed[t].attempt == report.attempts()[t];
      raise |= !named && (report.states()[t] == DONE || report.states()[t] == EXITED);
      raise |=
          c.placed[t].machine == m
              && c.placed[t].direct >= c.token[m]
              && finding(c, t).verdict() == TaskDecision.Verdict.AWAIT;
    }
    if (raise && fault != Fault.TOKEN_NOT_RAISED && c.given[m] < firstToken(c.term) + 3) {
      c.given[m]++;
    }
    return c.given[m];
  }

  private void answer(State c, Report report) {
    int m = report.machine();
    int token = tokenFor(c, report);
    boolean heeded =
        c.wSeq[m] == report.seq() && c.wSession[m] == report.session() && c.wToken[m] <= token;
    c.wToken[m] = heeded ? token : c.wToken[m];
    for (int t = 0; t < bounds.tasks(); t++) {
      Placed placed = c.placed[t];
      boolean named = placed.machine == m && placed.attempt == report.attempts()[t];
      if (report.states()[t] != NONE && !named) {
        ReportedState told =
            report.states()[t] == DONE
                ? ReportedState.COMPLETED
                : report.states()[t] == EXITED ? ReportedState.EXITED : ReportedState.PRESENT;
        TaskDecision.Verdict verdict =
            TaskReconciler.of(
                    new TaskFacts(
                        RecordOwner.NONE,
                        DesiredState.REMOVE,
                        told,
                        false,
                        true,
                        true,
                        GangState.GATHERING))
                .verdict();
        boolean forgets = verdict == TaskDecision.Verdict.FORGET;
        if (heeded
            && c.wAttempt[m][t] == report.attempts()[t]
            && (forgets || (verdict == TaskDecision.Verdict.STOP && c.wState[m][t] == HELD))) {
          c.wState[m][t] = NONE;
        }
      }
      if (placed.machine != m) {
        continue;
      }
      TaskDecision.Verdict verdict = finding(c, t).verdict();
      if (verdict == TaskDecision.Verdict.START) {
        placed.startSeq = report.seq();
        if (heeded) {
          begin(c, m, t, placed.attempt);
        }
      } else if (verdict == TaskDecision.Verdict.STOP
          && heeded
          && c.wAttempt[m][t] == placed.attempt
          && c.wState[m][t] == HELD) {
        c.wState[m][t] = NONE;
      }
      if (fault == Fault.DONE_FORGOTTEN && placed.kept && heeded) {
        c.wState[m][t] = NONE;
      }
    }
    lostDone(c);
  }

  /**
   * A completed task must be kept by its worker or by the store; here it is lost only by the end of
   * a lease.
   */
  private void lostDone(State c) {
    for (int t = 0; t < bounds.tasks(); t++) {
      Placed placed = c.placed[t];
      if (placed.kept
          && !c.logDone[t]
          && c.wSession[placed.machine] == c.session[placed.machine]
          && c.wState[placed.machine][t] != DONE
          && placed.reportedSeq == c.seq[placed.machine]) {
        c.broken = "a completed task is kept nowhere";
      }
    }
  }

  private void pushed(State s, int t, Deque<State> next) {
    Placed placed = s.placed[t];
    if (placed.machine >= 0
        && placed.direct < 0
        && placed.startSeq < 0
        && s.starts.size() < bounds.heldStarts()
        && finding(s, t).verdict() == TaskDecision.Verdict.START) {
      State c = s.copy();
      int m = placed.machine;
      c.given[m] =
          Math.max(
              c.given[m],
              Math.max(firstToken(c.term), c.token[m] / 100 == c.term ? c.token[m] : 0));
      c.placed[t].direct = c.given[m];
      c.starts.add(new Start(m, c.given[m], c.session[m], t, placed.attempt));
      next.add(c);
    }
  }

  /**
   * A direct start, or a copy, is executed or refused, and answered with the worker's state; its
   * leader takes that, or never hears it.
   */
  private void arrives(State s, Start start, boolean again, Deque<State> next) {
    int m = start.machine();
    int t = start.task();
    State c = s.copy();
    if (again) {
      c.copies++;
    } else {
      c.starts.remove(start);
    }
    c.wSeq[m]++;
    boolean executed = c.wToken[m] <= start.token() && c.wSession[m] == start.session();
    if (executed) {
      c.wToken[m] = start.token();
      begin(c, m, t, start.attempt());
    }
    next.add(c);
    Placed placed = c.placed[t];
    if (c.term == start.token() / 100 && placed.machine == m && placed.attempt == start.attempt()) {
      State told = c.copy();
      placed = told.placed[t];
      placed.direct = executed ? placed.direct : -1;
      if (executed && told.session[m] == start.session() && told.wSeq[m] > told.seq[m]) {
        told.seq[m] = told.wSeq[m];
        placed.startSeq = Math.max(placed.startSeq, told.seq[m]);
        told.token[m] = Math.max(told.token[m], told.wToken[m]);
        if (told.wState[m][t] == HELD && told.wAttempt[m][t] == placed.attempt) {
          placed.reportedSeq = told.seq[m];
          placed.seen = true;
        }
      }
      next.add(told);
    }
  }

  private void begin(State c, int m, int t, int attempt) {
    if (c.wState[m][t] != NONE) {
      return;
    }
    c.wState[m][t] = HELD;
    c.wAttempt[m][t] = attempt;
    for (int other = 0; other < MACHINES; other++) {
      if (other != m && c.wState[other][t] == HELD) {
        c.broken = "ran_twice";
      }
    }
  }
}
