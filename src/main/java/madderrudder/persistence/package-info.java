/**
 * The stored state: a client of the consensus-backed key-value store, the keys and record layouts
 * kept in it, and the queue through which a leader commits changes, fenced by its term. Nothing
 * here decides what is stored; the record layouts are fixed, because later versions read them.
 */
package madderrudder.persistence;
