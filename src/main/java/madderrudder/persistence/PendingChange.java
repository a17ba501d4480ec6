package madderrudder.persistence;

import java.util.List;
import madderrudder.protocol.StoreCodec.Condition;
import madderrudder.protocol.StoreCodec.Write;

/**
 * A change to the leader's in-memory state that is not in the store yet. A {@link CommitQueue}
 * writes it in one transaction. The writes are created when that transaction is built, so that they
 * contain the latest state. All methods are called on the event-loop thread.
 */
public interface PendingChange {
  /**
   * Returns the identity of the change in the queue. The queue holds one change per name, so a
   * change that is queued twice before it is written is written once.
   */
  String name();

  /** Creates the writes to commit, from the current state. */
  List<Write> writes();

  /**
   * Returns the compare-and-swap conditions of the change in addition to the one on the term key;
   * none by default.
   */
  default List<Condition> conditions() {
    return List.of();
  }

  /** Called when the writes are durable in the store. */
  void committed();

  /** Called when one of the change's own conditions did not hold; the queue does not retry it. */
  default void rejected() {}
}
