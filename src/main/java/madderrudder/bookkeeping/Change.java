package madderrudder.bookkeeping;

import java.util.List;
import madderrudder.protocol.StoreCodec.Condition;
import madderrudder.protocol.StoreCodec.Write;

/**
 * A difference between the leader's picture and the store, written as one piece. It is rendered
 * when its transaction is built, so that what is written is the newest wish.
 */
public interface Change {
  /** Changes with the same name are one: naming it twice before it is written costs nothing. */
  String name();

  List<Write> writes();

  default List<Condition> conditions() {
    return List.of();
  }

  /** The writes are durable. */
  void committed();

  /** A condition of this change did not hold; it is not tried again. */
  default void rejected() {}
}
