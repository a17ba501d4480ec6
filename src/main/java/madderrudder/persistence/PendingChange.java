package madderrudder.persistence;

import java.util.List;
import madderrudder.protocol.StoreCodec.Condition;
import madderrudder.protocol.StoreCodec.Write;

/**
 * A difference between the leader's in-memory state and the store, written as one piece by a {@link
 * CommitQueue}. Its writes are rendered when its transaction is built, so that what is written is
 * the newest state. All methods are called on the event-loop thread.
 */
public interface PendingChange {
  /**
   * The identity of the change in the queue: changes with the same name are one, so queueing it
   * twice before it is written costs nothing.
   */
  String name();

  /** The writes to commit, rendered now. */
  List<Write> writes();

  /** Compare-and-swap conditions the change needs besides the term key; none by default. */
  default List<Condition> conditions() {
    return List.of();
  }

  /** Called when the writes are durable in the store. */
  void committed();

  /** Called when one of this change's own conditions did not hold; it is not tried again. */
  default void rejected() {}
}
