package madderrudder.coordination.reconciliation;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * A state of {@link ReconciliationModel}: what the store, the leader and the workers know, and the
 * messages that are on their way.
 */
final class ReconciliationModelState {
  static final int MACHINES = 2;

  /** A leader's record of a task. */
  static final class TaskRecord implements Cloneable {
    int machine = -1;
    int attempt;
    boolean inherited;
    boolean durable;
    boolean seen;
    int directToken = -1;
    boolean evicting;
    boolean keepCompleted;
    int startSequence = -1;
    int reportedSequence = -1;

    @Override
    public TaskRecord clone() {
      try {
        return (TaskRecord) super.clone();
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
              + directToken
              + (evicting ? "u" : "")
              + (keepCompleted ? "k" : "")
              + startSequence
              + ","
              + reportedSequence;
    }
  }

  /** A report on its way: machine, epoch, seq, token, and state and attempt of each task. */
  record Report(int machine, int epoch, int sequence, int token, int[] states, int[] attempts) {
    String key() {
      return machine
          + ","
          + epoch
          + ","
          + sequence
          + ","
          + token
          + Arrays.toString(states)
          + Arrays.toString(attempts);
    }
  }

  /** A direct start on its way. */
  record Start(int machine, int token, int epoch, int task, int attempt) {}

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
  TaskRecord[] placed;
  boolean[] done;
  boolean[] reported = new boolean[MACHINES];
  int[] epoch = new int[MACHINES];
  int[] sequence = {-1, -1};
  int[] token = new int[MACHINES];
  int[] issuedToken = new int[MACHINES];
  boolean[][] orphaned;
  int[] lastCountedEpoch = new int[MACHINES];
  // Workers.
  int[] workerEpoch = new int[MACHINES];
  int[] workerSeq = new int[MACHINES];
  int[] workerToken = new int[MACHINES];
  int[][] workerState;
  int[][] workerAttempt;
  // On the way.
  Deque<Report> reports = new ArrayDeque<>();
  Deque<Start> starts = new ArrayDeque<>();
  String broken;

  ReconciliationModelState(int tasks) {
    this.tasks = tasks;
    logMachine = new int[tasks];
    Arrays.fill(logMachine, -1);
    logAttempt = new int[tasks];
    logDone = new boolean[tasks];
    placed = new TaskRecord[tasks];
    Arrays.setAll(placed, t -> new TaskRecord());
    done = new boolean[tasks];
    orphaned = new boolean[MACHINES][tasks];
    workerState = new int[MACHINES][tasks];
    workerAttempt = new int[MACHINES][tasks];
  }

  ReconciliationModelState copy() {
    ReconciliationModelState c = new ReconciliationModelState(tasks);
    c.term = term;
    c.attempts = attempts;
    c.preempted = preempted;
    c.copies = copies;
    c.exits = exits;
    c.issuedToken = issuedToken.clone();
    c.logMachine = logMachine.clone();
    c.logAttempt = logAttempt.clone();
    c.logDone = logDone.clone();
    for (int t = 0; t < tasks; t++) {
      c.placed[t] = placed[t].clone();
    }
    c.done = done.clone();
    c.reported = reported.clone();
    c.epoch = epoch.clone();
    c.sequence = sequence.clone();
    c.token = token.clone();
    c.lastCountedEpoch = lastCountedEpoch.clone();
    c.workerEpoch = workerEpoch.clone();
    c.workerSeq = workerSeq.clone();
    c.workerToken = workerToken.clone();
    for (int m = 0; m < MACHINES; m++) {
      c.orphaned[m] = orphaned[m].clone();
      c.workerState[m] = workerState[m].clone();
      c.workerAttempt[m] = workerAttempt[m].clone();
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
        .append(Arrays.toString(issuedToken))
        .append(preempted ? "p" : "")
        .append(Arrays.toString(logMachine))
        .append(Arrays.toString(logAttempt))
        .append(Arrays.toString(logDone))
        .append(Arrays.toString(done));
    for (TaskRecord one : placed) {
      key.append(one.key()).append(';');
    }
    key.append(Arrays.toString(reported))
        .append(Arrays.toString(epoch))
        .append(Arrays.toString(sequence))
        .append(Arrays.toString(token))
        .append(Arrays.deepToString(orphaned))
        .append(Arrays.toString(lastCountedEpoch))
        .append(Arrays.toString(workerEpoch))
        .append(Arrays.toString(workerSeq))
        .append(Arrays.toString(workerToken))
        .append(Arrays.deepToString(workerState))
        .append(Arrays.deepToString(workerAttempt));
    // In no order: what is on its way may arrive in any.
    reports.stream().map(Report::key).sorted().forEach(key::append);
    starts.stream().map(Start::toString).sorted().forEach(key::append);
    return key.toString();
  }
}
