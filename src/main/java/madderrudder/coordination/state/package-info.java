/**
 * The leader's in-memory view of the cluster: live jobs, machines, and which task may be on which
 * machine. It is confined to the event loop thread and performs no I/O; persistence and messages
 * are up to other packages.
 */
package madderrudder.coordination.state;
