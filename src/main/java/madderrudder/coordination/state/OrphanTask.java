package madderrudder.coordination.state;

import madderrudder.protocol.Resources;

/**
 * A task that a worker reports although no record places it on the machine.
 *
 * @param key the task and its attempt
 * @param team the team of its job, or "" if the job is not known
 * @param resources what it uses, or {@link Resources#NONE} if its job is not known
 */
public record OrphanTask(TaskAttempt key, String team, Resources resources) {}
