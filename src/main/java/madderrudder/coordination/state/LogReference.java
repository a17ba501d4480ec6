package madderrudder.coordination.state;

/** Where the store names a machine or a task. */
public interface LogReference {}
