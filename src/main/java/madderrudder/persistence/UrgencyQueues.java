package madderrudder.persistence;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import madderrudder.persistence.CommitQueue.Urgency;

/** The pending changes: one queue per urgency, each in insertion order. */
final class UrgencyQueues {
  private final Map<Urgency, Map<String, PendingChange>> queues = new EnumMap<>(Urgency.class);

  UrgencyQueues() {
    for (Urgency urgency : Urgency.values()) {
      queues.put(urgency, new LinkedHashMap<>());
    }
  }

  /**
   * Queues a change. At most one change of a name is queued, at the highest urgency it was added
   * with.
   *
   * @return false if a change with the same name is already queued at a higher urgency
   */
  boolean add(PendingChange change, Urgency urgency) {
    for (Urgency other : Urgency.values()) {
      if (other.compareTo(urgency) < 0 && get(other).containsKey(change.name())) {
        return false;
      }
      if (other.compareTo(urgency) > 0) {
        get(other).remove(change.name());
      }
    }
    get(urgency).putIfAbsent(change.name(), change);
    return true;
  }

  /** Returns the changes of one urgency by name; callers may remove entries. */
  Map<String, PendingChange> get(Urgency urgency) {
    return queues.get(urgency);
  }

  boolean isEmpty(Urgency urgency) {
    return get(urgency).isEmpty();
  }

  /** Returns the number of changes at all urgencies together. */
  int size() {
    return queues.values().stream().mapToInt(Map::size).sum();
  }

  void clear() {
    queues.values().forEach(Map::clear);
  }
}
