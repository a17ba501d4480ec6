package madderrudder.coordination.membership;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * A small model of the delegation rules, of which every sequence of events is explored. It has two
 * successive leaders, delegates that may restart, one worker with one task, a cancellation, and
 * messages with unbounded delay. Time passes in whole ticks. The clocks of the model are exact,
 * since the margins in the code cover clock drift. docs/delegation.md describes the rules.
 */
final class DelegationModel {
  // The time for which heartbeats may be answered without a reply from the store, the length of the
  // leader's lease, and the time without a message of the leader after which a delegate answers. A
  // cancelled task must have ended within a worker's lease plus the first of these.
  private static final int MAX_ANSWER_TICKS = 3;
  private static final int LEADER_LEASE_TICKS = 1;
  private static final int LEADER_SILENCE_TICKS = 1;
  private static final int NEVER = -60;

  // Offsets of fields in a state. One field for each of the two leaders:
  private static final int LAST_STORE_REPLY = 4;
  private static final int LEADER_LEASE_END = 6;
  private static final int LAST_KNOWN_ANSWER = 8;
  private static final int CANCELLATION_BOUND = 10;
  private static final int TERM_ENDED = 12;
  private static final int HEARTBEAT_RECEIVED = 14;
  // Eight fields for each delegate, then sixteen for each pair of a leader and a delegate:
  private static final int DELEGATES_OFFSET = 20;
  private static final int DELEGATE_FIELDS = 8;
  private static final int PAIR_FIELDS = 16;

  private final int delegates;
  private final int workerLeaseTicks;
  private final Fault fault;

  /** A rule that the model omits, to check that the exploration detects the omission. */
  enum Fault {
    NONE,
    /** A grant counts from its receipt instead of from the echoed stamp. */
    GRANT_COUNTS_FROM_RECEIPT,
    /** A lease ends without regard to the grants of delegates whose answers are not known. */
    UNKNOWN_ANSWERS_IGNORED,
    /** The extension of a lease by one delegate is not applied to the others. */
    DELEGATES_JUDGED_SEPARATELY,
    /** A grant is not bounded by a cancellation whose task may still run. */
    GRANT_IGNORES_CANCELLATION
  }

  private record State(byte[] fields) {
    @Override
    public boolean equals(Object other) {
      return other instanceof State state && Arrays.equals(fields, state.fields);
    }

    @Override
    public int hashCode() {
      return Arrays.hashCode(fields);
    }
  }

  DelegationModel(int delegates, int workerLeaseTicks, Fault fault) {
    this.delegates = delegates;
    this.workerLeaseTicks = workerLeaseTicks;
    this.fault = fault;
  }

  // Offsets of single fields.
  private static final int NOW = 0;
  private static final int SECOND_ELECTED_AT = 1;
  private static final int CANCELLED_AT = 2;
  private static final int TASK_RUNNING = 3;
  private static final int WORKER_LEASE_BEGIN = 16;
  private static final int WORKER_TOKEN = 17;
  private static final int TERM_ACKNOWLEDGEMENTS = 18;

  // Offsets within the fields of a delegate.
  private static final int HIGHEST_TERM = 0;
  private static final int GRANT_TERM = 1;
  private static final int GRANT_END = 2;
  private static final int LAST_GRANTER_MESSAGE = 3;
  private static final int LAST_ANSWER = 4;
  private static final int INCARNATION = 5;
  private static final int STARTED_AT = 6;

  // Offsets within the fields of a pair: the leader's knowledge of the delegate, the last leader
  // stamp that the delegate has received, and one message in flight each way.
  private static final int KNOWN_INCARNATION = 0;
  private static final int FIRST_STATUS = 1;
  private static final int LAST_STATUS_STAMP = 2;
  private static final int ANSWERS_KNOWN_UP_TO = 3;
  private static final int ISSUED_GRANT_END = 4;
  private static final int PREDECESSORS_ANSWER_END = 5;
  private static final int LAST_LEADER_STAMP = 6;
  private static final int GRANT_SENT = 7;
  private static final int GRANT_MESSAGE_END = 8;
  private static final int GRANT_INCARNATION = 9;
  private static final int STATUS_SENT = 10;
  private static final int STATUS_ECHO = 11;
  private static final int STATUS_LAST_ANSWER = 12;
  private static final int STATUS_HIGHEST_TERM = 13;
  private static final int STATUS_INCARNATION = 14;
  private static final int STATUS_STARTED_AT = 15;

  private int delegateOffset(int delegate) {
    return DELEGATES_OFFSET + delegate * DELEGATE_FIELDS;
  }

  private int pairOffset(int leader, int delegate) {
    return DELEGATES_OFFSET
        + delegates * DELEGATE_FIELDS
        + (leader * delegates + delegate) * PAIR_FIELDS;
  }

  private State initialState() {
    byte[] fields =
        new byte[DELEGATES_OFFSET + delegates * DELEGATE_FIELDS + 2 * delegates * PAIR_FIELDS];
    fields[SECOND_ELECTED_AT] = NEVER;
    fields[CANCELLED_AT] = NEVER;
    fields[TASK_RUNNING] = 1;
    fields[WORKER_TOKEN] = 1;
    fields[LEADER_LEASE_END] = LEADER_LEASE_TICKS;
    fields[CANCELLATION_BOUND] = NEVER;
    fields[CANCELLATION_BOUND + 1] = NEVER;
    fields[HEARTBEAT_RECEIVED] = 1;
    for (int delegate = 0; delegate < delegates; delegate++) {
      fields[delegateOffset(delegate) + LAST_ANSWER] = NEVER;
      for (int leader = 0; leader < 2; leader++) {
        int pair = pairOffset(leader, delegate);
        Arrays.fill(fields, pair, pair + PAIR_FIELDS, (byte) NEVER);
      }
    }
    return new State(fields);
  }

  // The steps. The common steps come first, then DELEGATE_STEPS steps for each delegate. Of a step
  // between a leader and a delegate, the first leader's variant comes before the second leader's.
  private static final int TICK = 0;
  private static final int STORE_REPLY_TO_FIRST = 1;
  private static final int STORE_REPLY_TO_SECOND = 2;
  private static final int ELECT_SECOND = 3;
  private static final int CANCEL = 4;
  private static final int HEARTBEAT_TO_FIRST = 5;
  private static final int HEARTBEAT_TO_SECOND = 6;
  private static final int COMMON_STEPS = 7;
  private static final int HEARTBEAT_TO_DELEGATE = 0;
  private static final int RESTART_DELEGATE = 1;
  private static final int SEND_GRANT = 2;
  private static final int RECEIVE_GRANT = 4;
  private static final int SEND_STATUS = 6;
  private static final int RECEIVE_STATUS = 8;
  private static final int DELEGATE_STEPS = 10;

  private static int firstStep(int delegate) {
    return COMMON_STEPS + DELEGATE_STEPS * delegate;
  }

  /** Returns the state after a step, or null if the step is not possible. */
  private State after(State state, int step) {
    byte[] fields = state.fields().clone();
    boolean taken =
        switch (step) {
          case TICK -> tick(fields);
          case STORE_REPLY_TO_FIRST -> receiveStoreReply(fields, 0);
          case STORE_REPLY_TO_SECOND -> receiveStoreReply(fields, 1);
          case ELECT_SECOND -> electSecond(fields);
          case CANCEL -> cancel(fields);
          case HEARTBEAT_TO_FIRST -> heartbeatToLeader(fields, 0);
          case HEARTBEAT_TO_SECOND -> heartbeatToLeader(fields, 1);
          default ->
              delegateStep(
                  fields,
                  (step - COMMON_STEPS) / DELEGATE_STEPS,
                  (step - COMMON_STEPS) % DELEGATE_STEPS);
        };
    return taken ? new State(fields) : null;
  }

  private boolean delegateStep(byte[] fields, int delegate, int kind) {
    return switch (kind) {
      case HEARTBEAT_TO_DELEGATE -> heartbeatToDelegate(fields, delegate);
      case RESTART_DELEGATE -> restartDelegate(fields, delegate);
      case SEND_GRANT, SEND_GRANT + 1 -> sendGrant(fields, kind - SEND_GRANT, delegate);
      case RECEIVE_GRANT, RECEIVE_GRANT + 1 -> receiveGrant(fields, kind - RECEIVE_GRANT, delegate);
      case SEND_STATUS, SEND_STATUS + 1 -> sendStatus(fields, kind - SEND_STATUS, delegate);
      default -> receiveStatus(fields, kind - RECEIVE_STATUS, delegate);
    };
  }

  private boolean leads(byte[] fields, int leader) {
    return fields[TERM_ENDED + leader] == 0 && (leader == 0 || fields[SECOND_ELECTED_AT] != NEVER);
  }

  /** Advances the time; the task ends when the worker's lease has expired. */
  private boolean tick(byte[] fields) {
    fields[NOW]++;
    if (fields[NOW] > fields[WORKER_LEASE_BEGIN] + workerLeaseTicks) {
      fields[TASK_RUNNING] = 0;
    }
    return true;
  }

  /** The store replies to a leader: this renews the leader's lease and reports a cancellation. */
  private boolean receiveStoreReply(byte[] fields, int leader) {
    if (!leads(fields, leader)
        || (leader == 0 && fields[SECOND_ELECTED_AT] != NEVER)
        || fields[LAST_STORE_REPLY + leader] == fields[NOW]) {
      return false;
    }
    if (fields[CANCELLED_AT] >= fields[LAST_STORE_REPLY + leader]
        && fields[CANCELLATION_BOUND + leader] == NEVER) {
      fields[CANCELLATION_BOUND + leader] = fields[LAST_STORE_REPLY + leader];
    }
    fields[LAST_STORE_REPLY + leader] = fields[NOW];
    fields[LEADER_LEASE_END + leader] = (byte) (fields[NOW] + LEADER_LEASE_TICKS);
    return true;
  }

  private boolean electSecond(byte[] fields) {
    if (fields[SECOND_ELECTED_AT] != NEVER || fields[NOW] < fields[LEADER_LEASE_END]) {
      return false;
    }
    fields[SECOND_ELECTED_AT] = fields[NOW];
    fields[LAST_STORE_REPLY + 1] = fields[NOW];
    fields[LEADER_LEASE_END + 1] = (byte) (fields[NOW] + LEADER_LEASE_TICKS);
    fields[LAST_KNOWN_ANSWER + 1] = (byte) (fields[NOW] + MAX_ANSWER_TICKS);
    fields[CANCELLATION_BOUND + 1] = (byte) (fields[CANCELLED_AT] == NEVER ? NEVER : NEVER + 1);
    return true;
  }

  private boolean cancel(byte[] fields) {
    if (fields[CANCELLED_AT] != NEVER || fields[NOW] == 0) {
      return false;
    }
    fields[CANCELLED_AT] = fields[NOW];
    return true;
  }

  private boolean heartbeatToLeader(byte[] fields, int leader) {
    boolean mayAnswer =
        leads(fields, leader)
            && fields[TASK_RUNNING] == 1
            && fields[WORKER_TOKEN] <= leader + 1
            && fields[NOW]
                < Math.min(fields[LAST_STORE_REPLY + leader], fields[LEADER_LEASE_END + leader])
                    + MAX_ANSWER_TICKS;
    if (!mayAnswer) {
      return false;
    }
    fields[LAST_KNOWN_ANSWER + leader] =
        (byte) Math.max(fields[LAST_KNOWN_ANSWER + leader], fields[NOW]);
    fields[HEARTBEAT_RECEIVED + leader] = 1;
    fields[WORKER_TOKEN] = (byte) (leader + 1);
    fields[WORKER_LEASE_BEGIN] = fields[NOW];
    if (fields[CANCELLATION_BOUND + leader] != NEVER) {
      fields[TASK_RUNNING] = 0;
    }
    return true;
  }

  private boolean heartbeatToDelegate(byte[] fields, int delegate) {
    int base = delegateOffset(delegate);
    if (fields[TASK_RUNNING] == 0
        || fields[base + GRANT_TERM] == 0
        || fields[base + GRANT_TERM] != fields[base + HIGHEST_TERM]
        || fields[WORKER_TOKEN] > fields[base + GRANT_TERM]
        || fields[NOW] >= fields[base + GRANT_END]
        || fields[NOW] <= fields[base + LAST_GRANTER_MESSAGE] + LEADER_SILENCE_TICKS) {
      return false;
    }
    fields[WORKER_TOKEN] = fields[base + GRANT_TERM];
    fields[WORKER_LEASE_BEGIN] = fields[NOW];
    fields[base + LAST_ANSWER] = fields[NOW];
    return true;
  }

  private boolean restartDelegate(byte[] fields, int delegate) {
    int base = delegateOffset(delegate);
    if (fields[base + INCARNATION] > 0 || fields[NOW] == 0) {
      return false;
    }
    Arrays.fill(fields, base, base + DELEGATE_FIELDS, (byte) 0);
    fields[base + LAST_ANSWER] = NEVER;
    fields[base + INCARNATION] = 1;
    fields[base + STARTED_AT] = fields[NOW];
    fields[pairOffset(0, delegate) + LAST_LEADER_STAMP] = NEVER;
    fields[pairOffset(1, delegate) + LAST_LEADER_STAMP] = NEVER;
    return true;
  }

  private boolean sendGrant(byte[] fields, int leader, int delegate) {
    int pair = pairOffset(leader, delegate);
    if (!leads(fields, leader) || fields[pair + GRANT_SENT] == fields[NOW]) {
      return false;
    }
    int validFrom = Math.min(fields[LAST_STORE_REPLY + leader], fields[LEADER_LEASE_END + leader]);
    if (fields[CANCELLATION_BOUND + leader] != NEVER
        && fields[TASK_RUNNING] == 1
        && fault != Fault.GRANT_IGNORES_CANCELLATION) {
      validFrom = Math.min(validFrom, fields[CANCELLATION_BOUND + leader]);
    }
    int until = validFrom + MAX_ANSWER_TICKS;
    fields[pair + GRANT_SENT] = fields[NOW];
    fields[pair + GRANT_MESSAGE_END] = NEVER;
    if (fields[pair + LAST_STATUS_STAMP] != NEVER && until > fields[NOW]) {
      fields[pair + GRANT_MESSAGE_END] =
          (byte)
              (fault == Fault.GRANT_COUNTS_FROM_RECEIPT
                  ? until - fields[NOW]
                  : fields[pair + LAST_STATUS_STAMP] + until - fields[NOW]);
      fields[pair + GRANT_INCARNATION] = fields[pair + KNOWN_INCARNATION];
      fields[pair + ISSUED_GRANT_END] = (byte) Math.max(fields[pair + ISSUED_GRANT_END], until);
    }
    return true;
  }

  private boolean receiveGrant(byte[] fields, int leader, int delegate) {
    int pair = pairOffset(leader, delegate);
    int base = delegateOffset(delegate);
    if (fields[pair + GRANT_SENT] == NEVER) {
      return false;
    }
    fields[base + HIGHEST_TERM] = (byte) Math.max(fields[base + HIGHEST_TERM], leader + 1);
    fields[pair + LAST_LEADER_STAMP] =
        (byte) Math.max(fields[pair + LAST_LEADER_STAMP], fields[pair + GRANT_SENT]);
    if (fields[pair + GRANT_MESSAGE_END] != NEVER
        && fields[pair + GRANT_INCARNATION] == fields[base + INCARNATION]
        && fields[base + HIGHEST_TERM] == leader + 1) {
      int end =
          fields[pair + GRANT_MESSAGE_END]
              + (fault == Fault.GRANT_COUNTS_FROM_RECEIPT ? fields[NOW] : 0);
      fields[base + GRANT_END] =
          (byte)
              (fields[base + GRANT_TERM] == leader + 1
                  ? Math.max(fields[base + GRANT_END], end)
                  : end);
      fields[base + GRANT_TERM] = (byte) (leader + 1);
    }
    if (fields[base + GRANT_TERM] == leader + 1) {
      fields[base + LAST_GRANTER_MESSAGE] = fields[NOW];
    }
    fields[pair + GRANT_SENT] = NEVER;
    return true;
  }

  private boolean sendStatus(byte[] fields, int leader, int delegate) {
    int pair = pairOffset(leader, delegate);
    int base = delegateOffset(delegate);
    if ((leader == 1 && fields[SECOND_ELECTED_AT] == NEVER)
        || (fields[pair + STATUS_SENT] == fields[NOW]
            && fields[pair + STATUS_LAST_ANSWER] == fields[base + LAST_ANSWER])) {
      return false;
    }
    fields[pair + STATUS_SENT] = fields[NOW];
    fields[pair + STATUS_ECHO] = fields[pair + LAST_LEADER_STAMP];
    fields[pair + STATUS_LAST_ANSWER] = fields[base + LAST_ANSWER];
    fields[pair + STATUS_HIGHEST_TERM] = fields[base + HIGHEST_TERM];
    fields[pair + STATUS_INCARNATION] = fields[base + INCARNATION];
    fields[pair + STATUS_STARTED_AT] = fields[base + STARTED_AT];
    return true;
  }

  private boolean receiveStatus(byte[] fields, int leader, int delegate) {
    int pair = pairOffset(leader, delegate);
    if (fields[pair + STATUS_SENT] == NEVER || !leads(fields, leader)) {
      return false;
    }
    int sentAt = fields[pair + STATUS_SENT];
    fields[pair + STATUS_SENT] = NEVER;
    if (fields[pair + STATUS_HIGHEST_TERM] > leader + 1) {
      fields[TERM_ENDED + leader] = 1;
      fields[TERM_ACKNOWLEDGEMENTS] = (byte) (fields[TERM_ACKNOWLEDGEMENTS] | 1 << delegates);
      return true;
    }
    if (fields[pair + STATUS_LAST_ANSWER] != NEVER) {
      fields[LAST_KNOWN_ANSWER + leader] =
          (byte) Math.max(fields[LAST_KNOWN_ANSWER + leader], fields[pair + STATUS_LAST_ANSWER]);
    }
    if (fields[pair + KNOWN_INCARNATION] == NEVER) {
      fields[pair + KNOWN_INCARNATION] = fields[pair + STATUS_INCARNATION];
      fields[pair + FIRST_STATUS] = fields[NOW];
    } else if (fields[pair + KNOWN_INCARNATION] != fields[pair + STATUS_INCARNATION]) {
      if (fields[pair + STATUS_ECHO] == NEVER
          || fields[pair + STATUS_ECHO] < fields[pair + FIRST_STATUS]) {
        return true;
      }
      int lastAnswer = Math.min(fields[pair + ISSUED_GRANT_END], fields[pair + STATUS_STARTED_AT]);
      if (lastAnswer > fields[pair + ANSWERS_KNOWN_UP_TO]) {
        fields[pair + PREDECESSORS_ANSWER_END] =
            (byte) Math.max(fields[pair + PREDECESSORS_ANSWER_END], lastAnswer);
      }
      fields[pair + KNOWN_INCARNATION] = fields[pair + STATUS_INCARNATION];
      fields[pair + FIRST_STATUS] = fields[NOW];
      fields[pair + ANSWERS_KNOWN_UP_TO] = NEVER;
      fields[pair + ISSUED_GRANT_END] = NEVER;
      fields[pair + LAST_STATUS_STAMP] = NEVER;
    }
    fields[pair + LAST_STATUS_STAMP] = (byte) Math.max(fields[pair + LAST_STATUS_STAMP], sentAt);
    if (fields[pair + STATUS_ECHO] != NEVER) {
      int termBegin = leader == 0 ? 0 : fields[SECOND_ELECTED_AT];
      fields[pair + ANSWERS_KNOWN_UP_TO] =
          (byte)
              Math.max(
                  fields[pair + ANSWERS_KNOWN_UP_TO],
                  fields[pair + STATUS_ECHO]
                      + (fields[pair + STATUS_ECHO] >= termBegin ? LEADER_SILENCE_TICKS : 0));
    }
    if (leader == 1 && fields[pair + STATUS_HIGHEST_TERM] == 2) {
      fields[TERM_ACKNOWLEDGEMENTS] = (byte) (fields[TERM_ACKNOWLEDGEMENTS] | 1 << delegate);
      if (fields[TERM_ACKNOWLEDGEMENTS] == (1 << (delegates + 1)) - 1
          && fields[HEARTBEAT_RECEIVED + 1] == 0) {
        fields[LAST_KNOWN_ANSWER + 1] = (byte) Math.min(fields[LAST_KNOWN_ANSWER + 1], fields[NOW]);
      }
    }
    return true;
  }

  /**
   * Returns whether the worker's lease has expired by the rule of {@link
   * DelegationTracker#leaseExpired}.
   */
  private boolean leaseExpired(byte[] fields, int leader) {
    int end = fields[LAST_KNOWN_ANSWER + leader] + workerLeaseTicks;
    for (int delegate = 0; delegate < delegates; delegate++) {
      end =
          Math.max(
              end,
              fields[pairOffset(leader, delegate) + PREDECESSORS_ANSWER_END] + workerLeaseTicks);
    }
    if (fault == Fault.DELEGATES_JUDGED_SEPARATELY) {
      int commonEnd = end;
      return IntStream.range(0, delegates)
          .allMatch(
              delegate ->
                  fields[NOW] > commonEnd
                      && (fields[pairOffset(leader, delegate) + ANSWERS_KNOWN_UP_TO] >= commonEnd
                          || fields[NOW]
                              > fields[pairOffset(leader, delegate) + ISSUED_GRANT_END]
                                  + workerLeaseTicks));
    }
    for (boolean extended = fault != Fault.UNKNOWN_ANSWERS_IGNORED; extended; ) {
      extended = false;
      for (int delegate = 0; delegate < delegates; delegate++) {
        int pair = pairOffset(leader, delegate);
        if (fields[pair + ANSWERS_KNOWN_UP_TO] < end
            && fields[pair + ISSUED_GRANT_END] + workerLeaseTicks > end) {
          end = fields[pair + ISSUED_GRANT_END] + workerLeaseTicks;
          extended = true;
        }
      }
    }
    return fields[NOW] > end;
  }

  /** Returns the name of the safety rule that the state violates, or null if none. */
  private String violatedRule(State state) {
    byte[] fields = state.fields();
    if (fields[TASK_RUNNING] == 0) {
      return null;
    }
    if (fields[CANCELLED_AT] != NEVER
        && fields[NOW] > fields[CANCELLED_AT] + workerLeaseTicks + MAX_ANSWER_TICKS) {
      return "ran_cancelled";
    }
    for (int leader = 0; leader < 2; leader++) {
      boolean holdsLease = leads(fields, leader) && fields[NOW] < fields[LEADER_LEASE_END + leader];
      if (holdsLease && leaseExpired(fields, leader)) {
        return "ran_twice";
      }
    }
    return null;
  }

  /** The events that may happen besides ticks and messages. */
  record Scenario(boolean secondLeader, boolean restarts, boolean cancellation) {}

  /**
   * Explores every sequence of events up to a number of ticks, and returns the number of states,
   * the name of a violated rule, or a message that a tick has more than {@code maxStates} states.
   * In each tick, the store either replies to a leader or not, each leader and delegate either
   * exchange messages or their messages are held back, the worker sends a heartbeat to one
   * controller or to none, and each event of the scenario either happens or not.
   */
  String explore(Scenario scenario, int ticks, int maxStates) {
    Set<State> states = Set.of(initialState());
    int count = 1;
    for (int tick = 0; tick <= ticks; tick++) {
      Set<State> nextStates = new HashSet<>();
      for (State state : states) {
        for (State next : afterEvents(state, scenario)) {
          String violatedRule = violatedRule(next);
          if (violatedRule != null) {
            return violatedRule;
          }
          State ticked = after(next, TICK);
          if (ticked.fields()[TASK_RUNNING] == 1) {
            nextStates.add(ticked);
          }
        }
        if (nextStates.size() > maxStates) {
          return "more than " + maxStates + " states in tick " + tick;
        }
      }
      count += nextStates.size();
      states = nextStates;
    }
    return count + " states";
  }

  /** Returns the states after the events of one tick. */
  private Set<State> afterEvents(State state, Scenario scenario) {
    Set<State> states = Set.of(state);
    int leaders = scenario.secondLeader() ? 2 : 1;
    if (scenario.cancellation()) {
      states = withAndWithout(states, CANCEL);
    }
    states = withAndWithout(states, STORE_REPLY_TO_FIRST);
    if (scenario.secondLeader()) {
      states = withAndWithout(withAndWithout(states, ELECT_SECOND), STORE_REPLY_TO_SECOND);
    }
    for (int delegate = 0; delegate < delegates; delegate++) {
      int firstStep = firstStep(delegate);
      if (scenario.restarts()) {
        states = withAndWithout(states, firstStep + RESTART_DELEGATE);
      }
      for (int leader = 0; leader < leaders; leader++) {
        Set<State> next = new HashSet<>();
        for (State reached : states) {
          // Either messages stay in flight, or those in flight are delivered first and the leader
          // and the delegate then exchange new ones.
          next.add(
              afterSteps(
                  reached, firstStep + SEND_STATUS + leader, firstStep + SEND_GRANT + leader));
          next.add(
              afterSteps(
                  reached,
                  firstStep + RECEIVE_STATUS + leader,
                  firstStep + RECEIVE_GRANT + leader,
                  firstStep + SEND_STATUS + leader,
                  firstStep + RECEIVE_STATUS + leader,
                  firstStep + SEND_GRANT + leader,
                  firstStep + RECEIVE_GRANT + leader,
                  firstStep + SEND_STATUS + leader,
                  firstStep + RECEIVE_STATUS + leader));
        }
        states = next;
      }
    }
    Set<State> afterHeartbeat = new HashSet<>(states);
    for (State reached : states) {
      afterHeartbeat.add(afterSteps(reached, HEARTBEAT_TO_FIRST));
      afterHeartbeat.add(afterSteps(reached, HEARTBEAT_TO_SECOND));
      for (int delegate = 0; delegate < delegates; delegate++) {
        afterHeartbeat.add(afterSteps(reached, firstStep(delegate) + HEARTBEAT_TO_DELEGATE));
      }
    }
    return afterHeartbeat;
  }

  /** Returns the given states, and those that the step leads to. */
  private Set<State> withAndWithout(Set<State> states, int step) {
    Set<State> next = new HashSet<>(states);
    states.forEach(state -> next.add(afterSteps(state, step)));
    return next;
  }

  /**
   * Returns the state after those of the steps that are possible. A step does not replace a message
   * in flight.
   */
  private State afterSteps(State state, int... steps) {
    State current = state;
    for (int step : steps) {
      State next = wouldReplaceMessageInFlight(current, step) ? null : after(current, step);
      current = next == null ? current : next;
    }
    return current;
  }

  /**
   * Returns whether the step would send a message while an earlier one of its kind is in flight.
   */
  private boolean wouldReplaceMessageInFlight(State state, int step) {
    if (step < COMMON_STEPS) {
      return false;
    }
    int delegate = (step - COMMON_STEPS) / DELEGATE_STEPS;
    byte[] fields = state.fields();
    return switch ((step - COMMON_STEPS) % DELEGATE_STEPS) {
      case SEND_GRANT -> fields[pairOffset(0, delegate) + GRANT_SENT] != NEVER;
      case SEND_GRANT + 1 -> fields[pairOffset(1, delegate) + GRANT_SENT] != NEVER;
      case SEND_STATUS -> fields[pairOffset(0, delegate) + STATUS_SENT] != NEVER;
      case SEND_STATUS + 1 -> fields[pairOffset(1, delegate) + STATUS_SENT] != NEVER;
      default -> false;
    };
  }
}
