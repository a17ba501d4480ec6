package madderrudder.coordination.heartbeat;

import java.util.List;
import madderrudder.coordination.state.Assignment;
import madderrudder.protocol.WorkerCommand;

/**
 * The commands that {@link CommandPlanner} has chosen for one worker. They have been neither sent
 * nor recorded as sent.
 *
 * @param commands the commands, in the order in which the worker executes them
 * @param starts the assignments that the commands start
 * @param stops the assignments that the commands stop; a task without a record has no assignment
 * @param raiseToken whether the machine's fencing token must be raised before the commands are sent
 */
record CommandPlan(
    List<WorkerCommand> commands,
    List<Assignment> starts,
    List<Assignment> stops,
    boolean raiseToken) {}
