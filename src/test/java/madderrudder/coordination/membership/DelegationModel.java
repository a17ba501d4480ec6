package madderrudder.coordination.membership;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * The rules of grants as a small model, every course of events of which is explored: two leaders in
 * a row, deputies that may restart, one worker with one task, a cancellation, and messages that are
 * held for as long as it pleases. Whole ticks stand for time; clocks are exact here, since the
 * code's margins take up their drift. docs/deputies.md.
 */
final class DelegationModel {
  // How long may be answered without news, a hold, and how long a leader is quiet before its deputy
  // answers; a
  // cancelled task must be gone within a lease and the first of these.
  private static final int ANSWER = 3;
  private static final int HOLD = 1;
  private static final int QUIET = 1;
  private static final int NEVER = -60;

  // Fields of a state. Of each leader:
  private static final int FRESH = 4;
  private static final int HELD = 6;
  private static final int ANSWERED = 8;
  private static final int DOOM = 10;
  private static final int ENDED = 12;
  private static final int REPORTED = 14;
  // Of each deputy (8 fields), and of each leader with each deputy (16):
  private static final int DEPUTY = 20;
  private static final int DEPUTY_FIELDS = 8;
  private static final int PAIR_FIELDS = 16;

  private final int deputies;
  private final int lease;
  private final Fault fault;

  /** A rule that is left out, to see that the exploration would tell. */
  enum Fault {
    NONE,
    LATE_GRANT,
    NO_COVERAGE,
    EACH_ALONE,
    NO_DOOM
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

  DelegationModel(int deputies, int lease, Fault fault) {
    this.deputies = deputies;
    this.lease = lease;
    this.fault = fault;
  }

  // Named places of single fields.
  private static final int NOW = 0;
  private static final int SECOND_LEADS = 1;
  private static final int CANCELLED = 2;
  private static final int TASK = 3;
  private static final int BASE = 16;
  private static final int TOKEN = 17;
  private static final int STOOD_BACK = 18;

  // Of a deputy: highest term, term and end of its grant, when it last heard the granter, its last
  // answer, its life.
  private static final int TOP = 0;
  private static final int TERM = 1;
  private static final int END = 2;
  private static final int HEARD = 3;
  private static final int LAST = 4;
  private static final int LIFE = 5;
  private static final int BORN = 6;

  // Of a leader with a deputy: what the leader knows, the deputy's last stamp heard, and one
  // message each way.
  private static final int KNOWN_LIFE = 0;
  private static final int FIRST = 1;
  private static final int STAMP = 2;
  private static final int TOLD = 3;
  private static final int GRANTED = 4;
  private static final int FORMER = 5;
  private static final int ECHO = 6;
  private static final int DOWN_SENT = 7;
  private static final int DOWN_END = 8;
  private static final int DOWN_LIFE = 9;
  private static final int UP_SENT = 10;
  private static final int UP_ECHO = 11;
  private static final int UP_LAST = 12;
  private static final int UP_TOP = 13;
  private static final int UP_LIFE = 14;
  private static final int UP_BORN = 15;

  private int deputy(int d) {
    return DEPUTY + d * DEPUTY_FIELDS;
  }

  private int pair(int leader, int d) {
    return DEPUTY + deputies * DEPUTY_FIELDS + (leader * deputies + d) * PAIR_FIELDS;
  }

  private State first() {
    byte[] s = new byte[DEPUTY + deputies * DEPUTY_FIELDS + 2 * deputies * PAIR_FIELDS];
    s[SECOND_LEADS] = NEVER;
    s[CANCELLED] = NEVER;
    s[TASK] = 1;
    s[TOKEN] = 1;
    s[HELD] = HOLD;
    s[DOOM] = NEVER;
    s[DOOM + 1] = NEVER;
    s[REPORTED] = 1;
    for (int d = 0; d < deputies; d++) {
      s[deputy(d) + LAST] = NEVER;
      for (int leader = 0; leader < 2; leader++) {
        int p = pair(leader, d);
        Arrays.fill(s, p, p + PAIR_FIELDS, (byte) NEVER);
      }
    }
    return new State(s);
  }

  /** The state after a step, or null where the step is none. */
  private State after(State state, int step) {
    byte[] s = state.fields().clone();
    boolean taken =
        switch (step) {
          case 0 -> tick(s);
          case 1 -> sync(s, 0);
          case 2 -> sync(s, 1);
          case 3 -> secondLeads(s);
          case 4 -> cancel(s);
          case 5 -> reportsToLeader(s, 0);
          case 6 -> reportsToLeader(s, 1);
          default -> {
            int d = (step - 7) / 10;
            yield switch ((step - 7) % 10) {
              case 0 -> reportsToDeputy(s, d);
              case 1 -> restart(s, d);
              case 2, 3 -> sendDown(s, (step - 7) % 10 - 2, d);
              case 4, 5 -> takeDown(s, (step - 7) % 10 - 4, d);
              case 6, 7 -> sendUp(s, (step - 7) % 10 - 6, d);
              default -> takeUp(s, (step - 7) % 10 - 8, d);
            };
          }
        };
    return taken ? new State(s) : null;
  }

  private boolean leads(byte[] s, int leader) {
    return s[ENDED + leader] == 0 && (leader == 0 || s[SECOND_LEADS] != NEVER);
  }

  private boolean tick(byte[] s) {
    s[NOW]++;
    if (s[NOW] > s[BASE] + lease) {
      s[TASK] = 0;
    }
    return true;
  }

  /** The leader hears from the store: it keeps its hold, and learns of the cancellation. */
  private boolean sync(byte[] s, int leader) {
    if (!leads(s, leader)
        || (leader == 0 && s[SECOND_LEADS] != NEVER)
        || s[FRESH + leader] == s[NOW]) {
      return false;
    }
    if (s[CANCELLED] >= s[FRESH + leader] && s[DOOM + leader] == NEVER) {
      s[DOOM + leader] = s[FRESH + leader];
    }
    s[FRESH + leader] = s[NOW];
    s[HELD + leader] = (byte) (s[NOW] + HOLD);
    return true;
  }

  private boolean secondLeads(byte[] s) {
    if (s[SECOND_LEADS] != NEVER || s[NOW] < s[HELD]) {
      return false;
    }
    s[SECOND_LEADS] = s[NOW];
    s[FRESH + 1] = s[NOW];
    s[HELD + 1] = (byte) (s[NOW] + HOLD);
    s[ANSWERED + 1] = (byte) (s[NOW] + ANSWER);
    s[DOOM + 1] = (byte) (s[CANCELLED] == NEVER ? NEVER : NEVER + 1);
    return true;
  }

  private boolean cancel(byte[] s) {
    if (s[CANCELLED] != NEVER || s[NOW] == 0) {
      return false;
    }
    s[CANCELLED] = s[NOW];
    return true;
  }

  private boolean reportsToLeader(byte[] s, int leader) {
    boolean may =
        leads(s, leader)
            && s[TASK] == 1
            && s[TOKEN] <= leader + 1
            && s[NOW] < Math.min(s[FRESH + leader], s[HELD + leader]) + ANSWER;
    if (!may) {
      return false;
    }
    s[ANSWERED + leader] = (byte) Math.max(s[ANSWERED + leader], s[NOW]);
    s[REPORTED + leader] = 1;
    s[TOKEN] = (byte) (leader + 1);
    s[BASE] = s[NOW];
    if (s[DOOM + leader] != NEVER) {
      s[TASK] = 0;
    }
    return true;
  }

  private boolean reportsToDeputy(byte[] s, int d) {
    int at = deputy(d);
    if (s[TASK] == 0
        || s[at + TERM] == 0
        || s[at + TERM] != s[at + TOP]
        || s[TOKEN] > s[at + TERM]
        || s[NOW] >= s[at + END]
        || s[NOW] <= s[at + HEARD] + QUIET) {
      return false;
    }
    s[TOKEN] = s[at + TERM];
    s[BASE] = s[NOW];
    s[at + LAST] = s[NOW];
    return true;
  }

  private boolean restart(byte[] s, int d) {
    int at = deputy(d);
    if (s[at + LIFE] > 0 || s[NOW] == 0) {
      return false;
    }
    Arrays.fill(s, at, at + DEPUTY_FIELDS, (byte) 0);
    s[at + LAST] = NEVER;
    s[at + LIFE] = 1;
    s[at + BORN] = s[NOW];
    s[pair(0, d) + ECHO] = NEVER;
    s[pair(1, d) + ECHO] = NEVER;
    return true;
  }

  private boolean sendDown(byte[] s, int leader, int d) {
    int p = pair(leader, d);
    if (!leads(s, leader) || s[p + DOWN_SENT] == s[NOW]) {
      return false;
    }
    int from = Math.min(s[FRESH + leader], s[HELD + leader]);
    if (s[DOOM + leader] != NEVER && s[TASK] == 1 && fault != Fault.NO_DOOM) {
      from = Math.min(from, s[DOOM + leader]);
    }
    int until = from + ANSWER;
    s[p + DOWN_SENT] = s[NOW];
    s[p + DOWN_END] = NEVER;
    if (s[p + STAMP] != NEVER && until > s[NOW]) {
      s[p + DOWN_END] =
          (byte) (fault == Fault.LATE_GRANT ? until - s[NOW] : s[p + STAMP] + until - s[NOW]);
      s[p + DOWN_LIFE] = s[p + KNOWN_LIFE];
      s[p + GRANTED] = (byte) Math.max(s[p + GRANTED], until);
    }
    return true;
  }

  private boolean takeDown(byte[] s, int leader, int d) {
    int p = pair(leader, d);
    int at = deputy(d);
    if (s[p + DOWN_SENT] == NEVER) {
      return false;
    }
    s[at + TOP] = (byte) Math.max(s[at + TOP], leader + 1);
    s[p + ECHO] = (byte) Math.max(s[p + ECHO], s[p + DOWN_SENT]);
    if (s[p + DOWN_END] != NEVER && s[p + DOWN_LIFE] == s[at + LIFE] && s[at + TOP] == leader + 1) {
      int end = s[p + DOWN_END] + (fault == Fault.LATE_GRANT ? s[NOW] : 0);
      s[at + END] = (byte) (s[at + TERM] == leader + 1 ? Math.max(s[at + END], end) : end);
      s[at + TERM] = (byte) (leader + 1);
    }
    if (s[at + TERM] == leader + 1) {
      s[at + HEARD] = s[NOW];
    }
    s[p + DOWN_SENT] = NEVER;
    return true;
  }

  private boolean sendUp(byte[] s, int leader, int d) {
    int p = pair(leader, d);
    int at = deputy(d);
    if ((leader == 1 && s[SECOND_LEADS] == NEVER)
        || (s[p + UP_SENT] == s[NOW] && s[p + UP_LAST] == s[at + LAST])) {
      return false;
    }
    s[p + UP_SENT] = s[NOW];
    s[p + UP_ECHO] = s[p + ECHO];
    s[p + UP_LAST] = s[at + LAST];
    s[p + UP_TOP] = s[at + TOP];
    s[p + UP_LIFE] = s[at + LIFE];
    s[p + UP_BORN] = s[at + BORN];
    return true;
  }

  private boolean takeUp(byte[] s, int leader, int d) {
    int p = pair(leader, d);
    if (s[p + UP_SENT] == NEVER || !leads(s, leader)) {
      return false;
    }
    int sent = s[p + UP_SENT];
    s[p + UP_SENT] = NEVER;
    if (s[p + UP_TOP] > leader + 1) {
      s[ENDED + leader] = 1;
      s[STOOD_BACK] = (byte) (s[STOOD_BACK] | 1 << deputies);
      return true;
    }
    if (s[p + UP_LAST] != NEVER) {
      s[ANSWERED + leader] = (byte) Math.max(s[ANSWERED + leader], s[p + UP_LAST]);
    }
    if (s[p + KNOWN_LIFE] == NEVER) {
      s[p + KNOWN_LIFE] = s[p + UP_LIFE];
      s[p + FIRST] = s[NOW];
    } else if (s[p + KNOWN_LIFE] != s[p + UP_LIFE]) {
      if (s[p + UP_ECHO] == NEVER || s[p + UP_ECHO] < s[p + FIRST]) {
        return true;
      }
      int last = Math.min(s[p + GRANTED], s[p + UP_BORN]);
      if (last > s[p + TOLD]) {
        s[p + FORMER] = (byte) Math.max(s[p + FORMER], last);
      }
      s[p + KNOWN_LIFE] = s[p + UP_LIFE];
      s[p + FIRST] = s[NOW];
      s[p + TOLD] = NEVER;
      s[p + GRANTED] = NEVER;
      s[p + STAMP] = NEVER;
    }
    s[p + STAMP] = (byte) Math.max(s[p + STAMP], sent);
    if (s[p + UP_ECHO] != NEVER) {
      int begin = leader == 0 ? 0 : s[SECOND_LEADS];
      s[p + TOLD] =
          (byte) Math.max(s[p + TOLD], s[p + UP_ECHO] + (s[p + UP_ECHO] >= begin ? QUIET : 0));
    }
    if (leader == 1 && s[p + UP_TOP] == 2) {
      s[STOOD_BACK] = (byte) (s[STOOD_BACK] | 1 << d);
      if (s[STOOD_BACK] == (1 << (deputies + 1)) - 1 && s[REPORTED + 1] == 0) {
        s[ANSWERED + 1] = (byte) Math.min(s[ANSWERED + 1], s[NOW]);
      }
    }
    return true;
  }

  /** As {@link DelegationTracker#dropped}. */
  private boolean dropped(byte[] s, int leader) {
    int end = s[ANSWERED + leader] + lease;
    for (int d = 0; d < deputies; d++) {
      end = Math.max(end, s[pair(leader, d) + FORMER] + lease);
    }
    if (fault == Fault.EACH_ALONE) {
      int first = end;
      return IntStream.range(0, deputies)
          .allMatch(
              d ->
                  s[NOW] > first
                      && (s[pair(leader, d) + TOLD] >= first
                          || s[NOW] > s[pair(leader, d) + GRANTED] + lease));
    }
    for (boolean later = fault != Fault.NO_COVERAGE; later; ) {
      later = false;
      for (int d = 0; d < deputies; d++) {
        int p = pair(leader, d);
        if (s[p + TOLD] < end && s[p + GRANTED] + lease > end) {
          end = s[p + GRANTED] + lease;
          later = true;
        }
      }
    }
    return s[NOW] > end;
  }

  private String broken(State state) {
    byte[] s = state.fields();
    if (s[TASK] == 0) {
      return null;
    }
    if (s[CANCELLED] != NEVER && s[NOW] > s[CANCELLED] + lease + ANSWER) {
      return "ran_cancelled";
    }
    for (int leader = 0; leader < 2; leader++) {
      boolean holdsLease = leads(s, leader) && s[NOW] < s[HELD + leader];
      if (holdsLease && dropped(s, leader)) {
        return "ran_twice";
      }
    }
    return null;
  }

  /** What may happen besides time and messages. */
  record Story(boolean secondLeader, boolean restarts, boolean cancellation) {}

  /**
   * Every course of events until the time is up; how many states there are, or what breaks. In each
   * tick the store answers each leader or does not, each leader and each deputy hear one another or
   * what they send is held until they do, the worker reports to anybody or nobody, and each part of
   * the story happens or does not.
   */
  String explore(Story story, int ticks, int mostStates) {
    Set<State> now = Set.of(first());
    int count = 1;
    for (int tick = 0; tick <= ticks; tick++) {
      Set<State> later = new HashSet<>();
      for (State state : now) {
        for (State next : round(state, story)) {
          String broken = broken(next);
          if (broken != null) {
            return broken;
          }
          State one = after(next, 0);
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
  private Set<State> round(State state, Story story) {
    Set<State> states = Set.of(state);
    int leaders = story.secondLeader() ? 2 : 1;
    if (story.cancellation()) {
      states = maybe(states, 4);
    }
    states = maybe(states, 1);
    if (story.secondLeader()) {
      states = maybe(maybe(states, 3), 2);
    }
    for (int d = 0; d < deputies; d++) {
      int of = 7 + 10 * d;
      if (story.restarts()) {
        states = maybe(states, of + 1);
      }
      for (int leader = 0; leader < leaders; leader++) {
        Set<State> next = new HashSet<>();
        for (State one : states) {
          // Apart: what was sent first is held. Together: it comes first, and then word goes both
          // ways.
          next.add(taken(one, of + 6 + leader, of + 2 + leader));
          next.add(
              taken(
                  one,
                  of + 8 + leader,
                  of + 4 + leader,
                  of + 6 + leader,
                  of + 8 + leader,
                  of + 2 + leader,
                  of + 4 + leader,
                  of + 6 + leader,
                  of + 8 + leader));
        }
        states = next;
      }
    }
    Set<State> reported = new HashSet<>(states);
    for (State one : states) {
      for (int step = 5; step < 7 + 10 * deputies; step += step < 7 ? 1 : 10) {
        reported.add(taken(one, step));
      }
    }
    return reported;
  }

  private Set<State> maybe(Set<State> states, int step) {
    Set<State> next = new HashSet<>(states);
    states.forEach(state -> next.add(taken(state, step)));
    return next;
  }

  /**
   * The state after those of the steps that are possible; one that is on its way is not sent over.
   */
  private State taken(State state, int... steps) {
    State now = state;
    for (int step : steps) {
      int kind = step < 7 ? -1 : (step - 7) % 10;
      int p = pair(kind % 2, step < 7 ? 0 : (step - 7) / 10);
      boolean held =
          ((kind == 2 || kind == 3) && now.fields()[p + DOWN_SENT] != NEVER)
              || ((kind == 6 || kind == 7) && now.fields()[p + UP_SENT] != NEVER);
      State next = held ? null : after(now, step);
      now = next == null ? now : next;
    }
    return now;
  }
}
