package madderrudder.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The rendezvous of gang-scheduled tasks. The tasks of a gang find each other by job and attempt,
 * as in the protocol of the workers.
 */
final class SimGangs {
  private final Map<Gang, Map<Integer, Member>> membersByGang = new HashMap<>();
  private final Set<Gang> runningGangs = new HashSet<>();

  /** The number of gangs whose tasks have all gathered. */
  int started;

  /** One attempt of a gang. */
  record Gang(String job, long attempt) {}

  /** Callbacks of one task of a gang. */
  interface Member {
    /** All tasks of the gang have gathered, and it runs. */
    void allGathered();

    /** Another task of the running gang was lost. */
    void peerLost();

    /** The gang has completed. */
    void completed();
  }

  /** Adds a task to its gang; the gang runs as soon as all its tasks have joined. */
  void join(Gang gang, int task, int tasks, Member member) {
    Map<Integer, Member> members = membersByGang.computeIfAbsent(gang, g -> new TreeMap<>());
    members.put(task, member);
    if (members.size() == tasks && runningGangs.add(gang)) {
      started++;
      List.copyOf(members.values()).forEach(Member::allGathered);
    }
  }

  /**
   * Removes a task from its gang. If the gang is running, it stops, and its other tasks are
   * notified.
   */
  void leave(Gang gang, int task, Member member) {
    Map<Integer, Member> members = membersByGang.getOrDefault(gang, new TreeMap<>());
    if (members.remove(task, member) && runningGangs.remove(gang)) {
      List.copyOf(members.values()).forEach(Member::peerLost);
    }
  }

  /** Completes all tasks of a gang together, unless one was lost. */
  void complete(Gang gang) {
    if (runningGangs.remove(gang)) {
      List.copyOf(membersByGang.remove(gang).values()).forEach(Member::completed);
    }
  }
}
