package madderrudder.coordination.state;

import madderrudder.protocol.TaskId;

/**
 * One attempt to run a task.
 *
 * @param task the task
 * @param attempt the attempt number; each placement of the task gets a new one
 */
public record TaskAttempt(TaskId task, long attempt) {}
