package madderrudder.coordination.state;

/** The place in the store's log that names a machine or a task. */
public interface LogReference {}
