package madderrudder.coordination.scheduling;

import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;

/**
 * A decision that a task is to run on a machine.
 *
 * @param job the job
 * @param task the index of the task
 * @param machine the machine
 * @param attempt the attempt number of the gang that the task joins; 0 for a new one
 */
public record Placement(Job job, int task, Machine machine, long attempt) {}
