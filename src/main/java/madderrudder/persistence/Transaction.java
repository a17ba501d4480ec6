package madderrudder.persistence;

import java.util.List;

/**
 * A transaction ready to be sent.
 *
 * @param changes the changes it carries
 * @param body the encoded request, sent unchanged at each attempt
 * @param writes how many writes it counts as
 * @param serial the serial number it writes into the term key
 */
record Transaction(List<PendingChange> changes, byte[] body, int writes, long serial) {}
