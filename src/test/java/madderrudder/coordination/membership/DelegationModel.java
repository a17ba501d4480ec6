package madderrudder.coordination.membership;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * The rules of delegation as a small model, every course of events of which is explored: two
 * leaders in a row, delegates that may restart, one worker with one task, a cancellation, and
 * messages that are delayed for any time. Whole ticks stand for time; clocks are exact here, since
 * the code's margins take up their drift. docs/delegation.md.
 */
final class DelegationModel {
  // For how long heartbeats may be answered without news from the store; the leader's lease; and
  // how long a delegate must not have heard its leader before it answers. A cancelled task must be
  // gone within a worker's lease and the first of these.
  private static final int ANSWER = 3;
  private static final int LEADER_LEASE = 1;
  private static final int LEADER_SILENCE = 1;
  private static final int NEVER = -60;

  // Fields of a state. Of each leader:
  private static final int STORE_NEWS = 4;
  private static final int LEASE_END = 6;
  private static final int ANSWERED = 8;
  private static final int CANCELLATION_BOUND = 10;
  private static final int ENDED = 12;
  private static final int HEARTBEAT_SEEN = 14;
  // Of each delegate (8 fields), and of each leader with each delegate (16):
  private static final int DELEGATE = 20;
  private static final int DELEGATE_FIELDS = 8;
  private static final int PAIR_FIELDS = 16;

  private final int delegates;
  private final int lease;
  private final Fault fault;

  /** A rule that is left out, to see that the exploration would tell. */
  enum Fault {
    NONE,
    LATE_GRANT,
    NO_COVERAGE,
    EACH_ALONE,
    NO_CANCELLATION_BOUND
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

  DelegationModel(int delegates, int lease, Fault fault) {
    this.delegates = delegates;
    this.lease = lease;
    this.fault = fault;
  }

  // Named places of single fields.
  private static final int NOW = 0;
  private static final int SECOND_LEADS = 1;
  private static final int CANCELLED = 2;
  private static final int TASK = 3;
  private static final int LEASE_BEGIN = 16;
  private static final int TOKEN = 17;
  private static final int ACKNOWLEDGED = 18;

  // Of a delegate: highest term, term and end of its grant, when it last heard the granter, its
  // last
  // answer, its life.
  private static final int HIGHEST_TERM = 0;
  private static final int GRANT_TERM = 1;
  private static final int GRANT_END = 2;
  private static final int GRANTER_HEARD = 3;
  private static final int LAST_ANSWER = 4;
  private static final int INCARNATION = 5;
  private static final int BORN = 6;

  // Of a leader with a delegate: what the leader knows, the delegate's last stamp heard, and one
  // message each way.
  private static final int KNOWN_INCARNATION = 0;
  private static final int FIRST_HEARD = 1;
  private static final int STAMP = 2;
  private static final int ANSWERS_KNOWN_UP_TO = 3;
  private static final int GRANTED_UNTIL = 4;
  private static final int PREDECESSORS_END = 5;
  private static final int ECHO = 6;
  private static final int GRANT_SENT = 7;
  private static final int GRANT_MESSAGE_END = 8;
  private static final int GRANT_INCARNATION = 9;
  private static final int STATUS_SENT = 10;
  private static final int STATUS_ECHO = 11;
  private static final int STATUS_LAST_ANSWER = 12;
  private static final int STATUS_HIGHEST_TERM = 13;
  private static final int STATUS_INCARNATION = 14;
  private static final int STATUS_BORN = 15;

  private int delegate(int d) {
    return DELEGATE + d * DELEGATE_FIELDS;
  }

  private int pair(int leader, int d) {
    return DELEGATE + delegates * DELEGATE_FIELDS + (leader * delegates + d) * PAIR_FIELDS;
  }

  private State first() {
    byte[] s = new byte[DELEGATE + delegates * DELEGATE_FIELDS + 2 * delegates * PAIR_FIELDS];
    s[SECOND_LEADS] = NEVER;
    s[CANCELLED] = NEVER;
    s[TASK] = 1;
    s[TOKEN] = 1;
    s[LEASE_END] = LEADER_LEASE;
    s[CANCELLATION_BOUND] = NEVER;
    s[CANCELLATION_BOUND + 1] = NEVER;
    s[HEARTBEAT_SEEN] = 1;
    for (int d = 0; d < delegates; d++) {
      s[delegate(d) + LAST_ANSWER] = NEVER;
      for (int leader = 0; leader < 2; leader++) {
        int p = pair(leader, d);
        Arrays.fill(s, p, p + PAIR_FIELDS, (byte) NEVER);
      }
    }
    return new State(s);
  }

  // The steps. Those of a delegate follow the common ones, DELEGATE_STEPS for each; where a step is
  // of a leader with a delegate, the second leader's follows the first one's.
  private static final int TICK = 0;
  private static final int NEWS_TO_FIRST = 1;
  private static final int NEWS_TO_SECOND = 2;
  private static final int SECOND_ELECTED = 3;
  private static final int CANCEL = 4;
  private static final int HEARTBEAT_TO_FIRST = 5;
  private static final int HEARTBEAT_TO_SECOND = 6;
  private static final int COMMON_STEPS = 7;
  private static final int HEARTBEAT_TO_DELEGATE = 0;
  private static final int RESTART = 1;
  private static final int SEND_GRANT = 2;
  private static final int RECEIVE_GRANT = 4;
  private static final int SEND_STATUS = 6;
  private static final int RECEIVE_STATUS = 8;
  private static final int DELEGATE_STEPS = 10;

  private static int firstStep(int d) {
    return COMMON_STEPS + DELEGATE_STEPS * d;
  }

  /** The state after a step, or null where the step is none. */
  private State after(State state, int step) {
    byte[] s = state.fields().clone();
    boolean taken =
        switch (step) {
          case TICK -> tick(s);
          case NEWS_TO_FIRST -> newsFromStore(s, 0);
          case NEWS_TO_SECOND -> newsFromStore(s, 1);
          case SECOND_ELECTED -> secondLeads(s);
          case CANCEL -> cancel(s);
          case HEARTBEAT_TO_FIRST -> heartbeatToLeader(s, 0);
          case HEARTBEAT_TO_SECOND -> heartbeatToLeader(s, 1);
          default ->
              delegateStep(
                  s,
                  (step - COMMON_STEPS) / DELEGATE_STEPS,
                  (step - COMMON_STEPS) % DELEGATE_STEPS);
        };
    return taken ? new State(s) : null;
  }

  private boolean delegateStep(byte[] s, int d, int kind) {
    return switch (kind) {
      case HEARTBEAT_TO_DELEGATE -> heartbeatToDelegate(s, d);
      case RESTART -> restart(s, d);
      case SEND_GRANT, SEND_GRANT + 1 -> sendGrant(s, kind - SEND_GRANT, d);
      case RECEIVE_GRANT, RECEIVE_GRANT + 1 -> receiveGrant(s, kind - RECEIVE_GRANT, d);
      case SEND_STATUS, SEND_STATUS + 1 -> sendStatus(s, kind - SEND_STATUS, d);
      default -> receiveStatus(s, kind - RECEIVE_STATUS, d);
    };
  }

  private boolean leads(byte[] s, int leader) {
    return s[ENDED + leader] == 0 && (leader == 0 || s[SECOND_LEADS] != NEVER);
  }

  private boolean tick(byte[] s) {
    s[NOW]++;
    if (s[NOW] > s[LEASE_BEGIN] + lease) {
      s[TASK] = 0;
    }
    return true;
  }

  /** The leader hears from the store: its lease is renewed, and it learns of the cancellation. */
  private boolean newsFromStore(byte[] s, int leader) {
    if (!leads(s, leader)
        || (leader == 0 && s[SECOND_LEADS] != NEVER)
        || s[STORE_NEWS + leader] == s[NOW]) {
      return false;
    }
    if (s[CANCELLED] >= s[STORE_NEWS + leader] && s[CANCELLATION_BOUND + leader] == NEVER) {
      s[CANCELLATION_BOUND + leader] = s[STORE_NEWS + leader];
    }
    s[STORE_NEWS + leader] = s[NOW];
    s[LEASE_END + leader] = (byte) (s[NOW] + LEADER_LEASE);
    return true;
  }

  private boolean secondLeads(byte[] s) {
    if (s[SECOND_LEADS] != NEVER || s[NOW] < s[LEASE_END]) {
      return false;
    }
    s[SECOND_LEADS] = s[NOW];
    s[STORE_NEWS + 1] = s[NOW];
    s[LEASE_END + 1] = (byte) (s[NOW] + LEADER_LEASE);
    s[ANSWERED + 1] = (byte) (s[NOW] + ANSWER);
    s[CANCELLATION_BOUND + 1] = (byte) (s[CANCELLED] == NEVER ? NEVER : NEVER + 1);
    return true;
  }

  private boolean cancel(byte[] s) {
    if (s[CANCELLED] != NEVER || s[NOW] == 0) {
      return false;
    }
    s[CANCELLED] = s[NOW];
    return true;
  }

  private boolean heartbeatToLeader(byte[] s, int leader) {
    boolean may =
        leads(s, leader)
            && s[TASK] == 1
            && s[TOKEN] <= leader + 1
            && s[NOW] < Math.min(s[STORE_NEWS + leader], s[LEASE_END + leader]) + ANSWER;
    if (!may) {
      return false;
    }
    s[ANSWERED + leader] = (byte) Math.max(s[ANSWERED + leader], s[NOW]);
    s[HEARTBEAT_SEEN + leader] = 1;
    s[TOKEN] = (byte) (leader + 1);
    s[LEASE_BEGIN] = s[NOW];
    if (s[CANCELLATION_BOUND + leader] != NEVER) {
      s[TASK] = 0;
    }
    return true;
  }

  private boolean heartbeatToDelegate(byte[] s, int d) {
    int at = delegate(d);
    if (s[TASK] == 0
        || s[at + GRANT_TERM] == 0
        || s[at + GRANT_TERM] != s[at + HIGHEST_TERM]
        || s[TOKEN] > s[at + GRANT_TERM]
        || s[NOW] >= s[at + GRANT_END]
        || s[NOW] <= s[at + GRANTER_HEARD] + LEADER_SILENCE) {
      return false;
    }
    s[TOKEN] = s[at + GRANT_TERM];
    s[LEASE_BEGIN] = s[NOW];
    s[at + LAST_ANSWER] = s[NOW];
    return true;
  }

  private boolean restart(byte[] s, int d) {
    int at = delegate(d);
    if (s[at + INCARNATION] > 0 || s[NOW] == 0) {
      return false;
    }
    Arrays.fill(s, at, at + DELEGATE_FIELDS, (byte) 0);
    s[at + LAST_ANSWER] = NEVER;
    s[at + INCARNATION] = 1;
    s[at + BORN] = s[NOW];
    s[pair(0, d) + ECHO] = NEVER;
    s[pair(1, d) + ECHO] = NEVER;
    return true;
  }

  private boolean sendGrant(byte[] s, int leader, int d) {
    int p = pair(leader, d);
    if (!leads(s, leader) || s[p + GRANT_SENT] == s[NOW]) {
      return false;
    }
    int from = Math.min(s[STORE_NEWS + leader], s[LEASE_END + leader]);
    if (s[CANCELLATION_BOUND + leader] != NEVER
        && s[TASK] == 1
        && fault != Fault.NO_CANCELLATION_BOUND) {
      from = Math.min(from, s[CANCELLATION_BOUND + leader]);
    }
    int until = from + ANSWER;
    s[p + GRANT_SENT] = s[NOW];
    s[p + GRANT_MESSAGE_END] = NEVER;
    if (s[p + STAMP] != NEVER && until > s[NOW]) {
      s[p + GRANT_MESSAGE_END] =
          (byte) (fault == Fault.LATE_GRANT ? until - s[NOW] : s[p + STAMP] + until - s[NOW]);
      s[p + GRANT_INCARNATION] = s[p + KNOWN_INCARNATION];
      s[p + GRANTED_UNTIL] = (byte) Math.max(s[p + GRANTED_UNTIL], until);
    }
    return true;
  }

  private boolean receiveGrant(byte[] s, int leader, int d) {
    int p = pair(leader, d);
    int at = delegate(d);
    if (s[p + GRANT_SENT] == NEVER) {
      return false;
    }
    s[at + HIGHEST_TERM] = (byte) Math.max(s[at + HIGHEST_TERM], leader + 1);
    s[p + ECHO] = (byte) Math.max(s[p + ECHO], s[p + GRANT_SENT]);
    if (s[p + GRANT_MESSAGE_END] != NEVER
        && s[p + GRANT_INCARNATION] == s[at + INCARNATION]
        && s[at + HIGHEST_TERM] == leader + 1) {
      int end = s[p + GRANT_MESSAGE_END] + (fault == Fault.LATE_GRANT ? s[NOW] : 0);
      s[at + GRANT_END] =
          (byte) (s[at + GRANT_TERM] == leader + 1 ? Math.max(s[at + GRANT_END], end) : end);
      s[at + GRANT_TERM] = (byte) (leader + 1);
    }
    if (s[at + GRANT_TERM] == leader + 1) {
      s[at + GRANTER_HEARD] = s[NOW];
    }
    s[p + GRANT_SENT] = NEVER;
    return true;
  }

  private boolean sendStatus(byte[] s, int leader, int d) {
    int p = pair(leader, d);
    int at = delegate(d);
    if ((leader == 1 && s[SECOND_LEADS] == NEVER)
        || (s[p + STATUS_SENT] == s[NOW] && s[p + STATUS_LAST_ANSWER] == s[at + LAST_ANSWER])) {
      return false;
    }
    s[p + STATUS_SENT] = s[NOW];
    s[p + STATUS_ECHO] = s[p + ECHO];
    s[p + STATUS_LAST_ANSWER] = s[at + LAST_ANSWER];
    s[p + STATUS_HIGHEST_TERM] = s[at + HIGHEST_TERM];
    s[p + STATUS_INCARNATION] = s[at + INCARNATION];
    s[p + STATUS_BORN] = s[at + BORN];
    return true;
  }

  private boolean receiveStatus(byte[] s, int leader, int d) {
    int p = pair(leader, d);
    if (s[p + STATUS_SENT] == NEVER || !leads(s, leader)) {
      return false;
    }
    int sent = s[p + STATUS_SENT];
    s[p + STATUS_SENT] = NEVER;
    if (s[p + STATUS_HIGHEST_TERM] > leader + 1) {
      s[ENDED + leader] = 1;
      s[ACKNOWLEDGED] = (byte) (s[ACKNOWLEDGED] | 1 << delegates);
      return true;
    }
    if (s[p + STATUS_LAST_ANSWER] != NEVER) {
      s[ANSWERED + leader] = (byte) Math.max(s[ANSWERED + leader], s[p + STATUS_LAST_ANSWER]);
    }
    if (s[p + KNOWN_INCARNATION] == NEVER) {
      s[p + KNOWN_INCARNATION] = s[p + STATUS_INCARNATION];
      s[p + FIRST_HEARD] = s[NOW];
    } else if (s[p + KNOWN_INCARNATION] != s[p + STATUS_INCARNATION]) {
      if (s[p + STATUS_ECHO] == NEVER || s[p + STATUS_ECHO] < s[p + FIRST_HEARD]) {
        return true;
      }
      int last = Math.min(s[p + GRANTED_UNTIL], s[p + STATUS_BORN]);
      if (last > s[p + ANSWERS_KNOWN_UP_TO]) {
        s[p + PREDECESSORS_END] = (byte) Math.max(s[p + PREDECESSORS_END], last);
      }
      s[p + KNOWN_INCARNATION] = s[p + STATUS_INCARNATION];
      s[p + FIRST_HEARD] = s[NOW];
      s[p + ANSWERS_KNOWN_UP_TO] = NEVER;
      s[p + GRANTED_UNTIL] = NEVER;
      s[p + STAMP] = NEVER;
    }
    s[p + STAMP] = (byte) Math.max(s[p + STAMP], sent);
    if (s[p + STATUS_ECHO] != NEVER) {
      int begin = leader == 0 ? 0 : s[SECOND_LEADS];
      s[p + ANSWERS_KNOWN_UP_TO] =
          (byte)
              Math.max(
                  s[p + ANSWERS_KNOWN_UP_TO],
                  s[p + STATUS_ECHO] + (s[p + STATUS_ECHO] >= begin ? LEADER_SILENCE : 0));
    }
    if (leader == 1 && s[p + STATUS_HIGHEST_TERM] == 2) {
      s[ACKNOWLEDGED] = (byte) (s[ACKNOWLEDGED] | 1 << d);
      if (s[ACKNOWLEDGED] == (1 << (delegates + 1)) - 1 && s[HEARTBEAT_SEEN + 1] == 0) {
        s[ANSWERED + 1] = (byte) Math.min(s[ANSWERED + 1], s[NOW]);
      }
    }
    return true;
  }

  /** As {@link DelegationTracker#leaseExpired}. */
  private boolean leaseExpired(byte[] s, int leader) {
    int end = s[ANSWERED + leader] + lease;
    for (int d = 0; d < delegates; d++) {
      end = Math.max(end, s[pair(leader, d) + PREDECESSORS_END] + lease);
    }
    if (fault == Fault.EACH_ALONE) {
      int first = end;
      return IntStream.range(0, delegates)
          .allMatch(
              d ->
                  s[NOW] > first
                      && (s[pair(leader, d) + ANSWERS_KNOWN_UP_TO] >= first
                          || s[NOW] > s[pair(leader, d) + GRANTED_UNTIL] + lease));
    }
    for (boolean later = fault != Fault.NO_COVERAGE; later; ) {
      later = false;
      for (int d = 0; d < delegates; d++) {
        int p = pair(leader, d);
        if (s[p + ANSWERS_KNOWN_UP_TO] < end && s[p + GRANTED_UNTIL] + lease > end) {
          end = s[p + GRANTED_UNTIL] + lease;
          later = true;
        }
      }
    }
    return s[NOW] > end;
  }

  private String brokenRule(State state) {
    byte[] s = state.fields();
    if (s[TASK] == 0) {
      return null;
    }
    if (s[CANCELLED] != NEVER && s[NOW] > s[CANCELLED] + lease + ANSWER) {
      return "ran_cancelled";
    }
    for (int leader = 0; leader < 2; leader++) {
      boolean holdsLease = leads(s, leader) && s[NOW] < s[LEASE_END + leader];
      if (holdsLease && leaseExpired(s, leader)) {
        return "ran_twice";
      }
    }
    return null;
  }

  /** What may happen besides time and messages. */
  record Scenario(boolean secondLeader, boolean restarts, boolean cancellation) {}

  /**
   * Every course of events until the time is up; how many states there are, or what breaks. In each
   * tick the store answers each leader or does not, each leader and each delegate hear one another
   * or what they send is held until they do, the worker reports to anybody or nobody, and each part
   * of the scenario happens or does not.
   */
  String explore(Scenario scenario, int ticks, int mostStates) {
    Set<State> now = Set.of(first());
    int count = 1;
    for (int tick = 0; tick <= ticks; tick++) {
      Set<State> later = new HashSet<>();
      for (State state : now) {
        for (State next : afterEvents(state, scenario)) {
          String brokenRule = brokenRule(next);
          if (brokenRule != null) {
            return brokenRule;
          }
          State one = after(next, TICK);
          if (one.fields()[TASK] == 1) {
            later.add(one);
          }
        }
        if (later.size() > mostStates) {
          return "more than " + mostStates + " states in tick " + tick;
        }
      }
      count += later.size();
      now = later;
    }
    return count + " states";
  }

  /** The states after a tick's events. */
  private Set<State> afterEvents(State state, Scenario scenario) {
    Set<State> states = Set.of(state);
    int leaders = scenario.secondLeader() ? 2 : 1;
    if (scenario.cancellation()) {
      states = withAndWithout(states, CANCEL);
    }
    states = withAndWithout(states, NEWS_TO_FIRST);
    if (scenario.secondLeader()) {
      states = withAndWithout(withAndWithout(states, SECOND_ELECTED), NEWS_TO_SECOND);
    }
    for (int d = 0; d < delegates; d++) {
      int of = firstStep(d);
      if (scenario.restarts()) {
        states = withAndWithout(states, of + RESTART);
      }
      for (int leader = 0; leader < leaders; leader++) {
        Set<State> next = new HashSet<>();
        for (State one : states) {
          // Apart: what was sent first is held. Together: it comes first, and then word goes both
          // ways.
          next.add(afterSteps(one, of + SEND_STATUS + leader, of + SEND_GRANT + leader));
          next.add(
              afterSteps(
                  one,
                  of + RECEIVE_STATUS + leader,
                  of + RECEIVE_GRANT + leader,
                  of + SEND_STATUS + leader,
                  of + RECEIVE_STATUS + leader,
                  of + SEND_GRANT + leader,
                  of + RECEIVE_GRANT + leader,
                  of + SEND_STATUS + leader,
                  of + RECEIVE_STATUS + leader));
        }
        states = next;
      }
    }
    Set<State> reported = new HashSet<>(states);
    for (State one : states) {
      reported.add(afterSteps(one, HEARTBEAT_TO_FIRST));
      reported.add(afterSteps(one, HEARTBEAT_TO_SECOND));
      for (int d = 0; d < delegates; d++) {
        reported.add(afterSteps(one, firstStep(d) + HEARTBEAT_TO_DELEGATE));
      }
    }
    return reported;
  }

  private Set<State> withAndWithout(Set<State> states, int step) {
    Set<State> next = new HashSet<>(states);
    states.forEach(state -> next.add(afterSteps(state, step)));
    return next;
  }

  /**
   * The state after those of the steps that are possible; one that is on its way is not sent over.
   */
  private State afterSteps(State state, int... steps) {
    State now = state;
    for (int step : steps) {
      State next = isOnItsWay(now, step) ? null : after(now, step);
      now = next == null ? now : next;
    }
    return now;
  }

  /** Whether the step would send a message while an earlier one of its kind is on its way. */
  private boolean isOnItsWay(State state, int step) {
    if (step < COMMON_STEPS) {
      return false;
    }
    int d = (step - COMMON_STEPS) / DELEGATE_STEPS;
    byte[] s = state.fields();
    return switch ((step - COMMON_STEPS) % DELEGATE_STEPS) {
      case SEND_GRANT -> s[pair(0, d) + GRANT_SENT] != NEVER;
      case SEND_GRANT + 1 -> s[pair(1, d) + GRANT_SENT] != NEVER;
      case SEND_STATUS -> s[pair(0, d) + STATUS_SENT] != NEVER;
      case SEND_STATUS + 1 -> s[pair(1, d) + STATUS_SENT] != NEVER;
      default -> false;
    };
  }
}
