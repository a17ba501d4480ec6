package madderrudder.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The rendezvous of gang-scheduled tasks: they find each other by job and attempt, as the protocol
 * has it.
 */
final class SimGangs {
  private final Map<Gang, Map<Integer, Member>> membersByGang = new HashMap<>();
  private final Set<Gang> runningGangs = new HashSet<>();
  int started;

  /** One attempt of a gang. */
  record Gang(String job, long attempt) {}

  /** A task of a gang on its machine, told what becomes of the gang. */
  interface Member {
    void allGathered();

    void peerLost();

    void completed();
  }

  void join(Gang gang, int task, int tasks, Member member) {
    Map<Integer, Member> members = membersByGang.computeIfAbsent(gang, g -> new TreeMap<>());
    members.put(task, member);
    if (members.size() == tasks && runningGangs.add(gang)) {
      started++;
      List.copyOf(members.values()).forEach(Member::allGathered);
    }
  }

  /** A task has left its machine; if the gang runs, the others will notice. */
  void leave(Gang gang, int task, Member member) {
    Map<Integer, Member> members = membersByGang.getOrDefault(gang, new TreeMap<>());
    if (members.remove(task, member) && runningGangs.remove(gang)) {
      List.copyOf(members.values()).forEach(Member::peerLost);
    }
  }

  /** All tasks of a gang complete together, unless one has been lost. */
  void complete(Gang gang) {
    if (runningGangs.remove(gang)) {
      List.copyOf(membersByGang.remove(gang).values()).forEach(Member::completed);
    }
  }
}
