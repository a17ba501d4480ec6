package madderrudder.coordination.state;

/**
 * The position in the store's log of the entry for a machine or a task. The package that writes the
 * log implements it; the cluster state only keeps it.
 */
public interface LogReference {}
