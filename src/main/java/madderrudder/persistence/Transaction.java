package madderrudder.persistence;

import java.util.List;

/**
 * An encoded transaction.
 *
 * @param changes the changes it commits
 * @param body the encoded request, sent unchanged in each retry
 * @param writes the number of its writes, including the one to the term key
 * @param serial the serial number it writes into the term key
 */
record Transaction(List<PendingChange> changes, byte[] body, int writes, long serial) {}
