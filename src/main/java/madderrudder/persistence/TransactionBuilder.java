package madderrudder.persistence;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import madderrudder.protocol.StoreCodec;
import madderrudder.protocol.StoreCodec.Condition;
import madderrudder.protocol.StoreCodec.Write;

/** Assembles one transaction from queued changes, within the store's limits on writes and bytes. */
final class TransactionBuilder {
  private static final int MAX_BYTES = 48 * 1024;

  /** The size counted for everything except the writes of the queued changes. */
  private static final int BASE_BYTES = 512;

  /** The size that one write adds to a transaction besides its key and value. */
  private static final int WRITE_OVERHEAD_BYTES = 64;

  private final List<PendingChange> changes = new ArrayList<>();
  private final List<Condition> conditions = new ArrayList<>();
  private final List<Write> writes = new ArrayList<>();
  private int bytes = BASE_BYTES;

  private final long serial;

  /**
   * Starts a transaction.
   *
   * @param serial its serial number in the term
   * @param termCondition the condition on the term key
   * @param termWrite the write that updates the term key
   */
  TransactionBuilder(long serial, Condition termCondition, Write termWrite) {
    this.serial = serial;
    conditions.add(termCondition);
    writes.add(termWrite);
  }

  /** Returns the number of writes added so far, including the one to the term key. */
  int writes() {
    return writes.size();
  }

  /**
   * Moves changes from the queue into the transaction while they fit. The first change is taken
   * regardless of its size, so that a change over the limits is sent in a transaction of its own.
   *
   * @param maxWrites the maximum number of writes in the transaction
   * @return whether the queue is empty afterwards
   */
  boolean takeFrom(Map<String, PendingChange> queue, int maxWrites) {
    for (Iterator<PendingChange> iterator = queue.values().iterator(); iterator.hasNext(); ) {
      PendingChange change = iterator.next();
      List<Write> changeWrites = change.writes();
      int size = changeWrites.stream().mapToInt(TransactionBuilder::sizeOf).sum();
      if (!changes.isEmpty() && !fits(changeWrites.size(), size, maxWrites)) {
        return false;
      }
      iterator.remove();
      changes.add(change);
      writes.addAll(changeWrites);
      conditions.addAll(change.conditions());
      bytes += size;
    }
    return true;
  }

  private boolean fits(int moreWrites, int moreBytes, int maxWrites) {
    return writes.size() + moreWrites <= maxWrites && bytes + moreBytes <= MAX_BYTES;
  }

  private static int sizeOf(Write write) {
    int valueBytes = write.value() == null ? 0 : write.value().length;
    return write.key().length() + WRITE_OVERHEAD_BYTES + valueBytes;
  }

  /** Encodes the transaction. */
  Transaction build() {
    byte[] body = StoreCodec.commitRequest(conditions, writes);
    return new Transaction(changes, body, writes.size(), serial);
  }
}
