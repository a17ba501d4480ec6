/**
 * The leader's in-memory view of the cluster: live jobs, machines, and which task may be on which
 * machine. It is confined to the event loop thread and performs no I/O; other packages persist it
 * and exchange messages about it.
 */
package madderrudder.coordination.state;
