package madderrudder.coordination.state;

import madderrudder.protocol.TaskId;

/**
 * One attempt to run a task.
 *
 * @param task the task
 * @param attempt the attempt number; each placement gets a new one, except that the tasks of a gang
 *     share one for as long as any of them is placed
 */
public record TaskAttempt(TaskId task, long attempt) {}
