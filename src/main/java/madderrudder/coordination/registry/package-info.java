/**
 * The records of a leader's term: it reads the stored state when it takes over, and keeps the
 * cluster state and the store in step while it leads. Jobs, machines and placements, and learned
 * run times each have a registry here; machines and placements are kept in a segmented log.
 */
package madderrudder.coordination.registry;
