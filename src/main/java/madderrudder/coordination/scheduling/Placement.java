package madderrudder.coordination.scheduling;

import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;

/**
 * A decision to run a task on a machine.
 *
 * @param job the job
 * @param task the index of the task
 * @param machine the machine
 */
public record Placement(Job job, int task, Machine machine) {}
