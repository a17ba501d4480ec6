/**
 * Synchronizes the leader's in-memory cluster state with the store. At the start of a term the
 * stored state is read and loaded; during the term every change is queued for commit. Jobs,
 * machines with their assignments, and learned run times are handled separately; machines and
 * assignments are stored in a segmented log.
 */
package madderrudder.coordination.registry;
