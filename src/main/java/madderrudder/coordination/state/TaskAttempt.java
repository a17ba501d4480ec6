package madderrudder.coordination.state;

import madderrudder.protocol.TaskId;

/**
 * A task under one attempt number.
 *
 * @param task the task
 * @param attempt the attempt number, which is of one start only
 */
public record TaskAttempt(TaskId task, long attempt) {}
