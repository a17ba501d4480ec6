package madderrudder.coordination.scheduling;

import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;

/** A wish: the task shall run on the machine. The attempt is 0 unless it joins a gang under way. */
public record Placement(Job job, int task, Machine machine, long attempt) {}
