/**
 * Access to the state in the consensus-backed key-value store: the client, the keys and record
 * layouts, and the queue through which a leader commits changes, fenced by its term. The callers
 * decide which records are stored. The record layouts must not change, because later versions read
 * the stored records.
 */
package madderrudder.persistence;
