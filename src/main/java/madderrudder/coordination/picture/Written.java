package madderrudder.coordination.picture;

/** Where the store names a machine or a task. */
public interface Written {}
