package madderrudder.persistence;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import madderrudder.persistence.CommitQueue.Urgency;

/** The queued changes, one queue for each urgency, each in the order of adding. */
final class UrgencyQueues {
  private final Map<Urgency, Map<String, PendingChange>> queues = new EnumMap<>(Urgency.class);

  UrgencyQueues() {
    for (Urgency urgency : Urgency.values()) {
      queues.put(urgency, new LinkedHashMap<>());
    }
  }

  /**
   * Queues a change. Of changes with the same name one is kept, at the more urgent place.
   *
   * @return false if a change of that name waits at a higher urgency already
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

  /** The changes of one urgency by name; callers may remove entries. */
  Map<String, PendingChange> get(Urgency urgency) {
    return queues.get(urgency);
  }

  boolean isEmpty(Urgency urgency) {
    return get(urgency).isEmpty();
  }

  /** How many changes wait, at all urgencies together. */
  int size() {
    return queues.values().stream().mapToInt(Map::size).sum();
  }

  void clear() {
    queues.values().forEach(Map::clear);
  }
}
