package madderrudder.coordination.scheduling;

import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;

/**
 * A decision that a task is to run on a machine.
 *
 * @param job the job
 * @param task the index of the task
 * @param machine the machine
 */
public record Placement(Job job, int task, Machine machine) {}
