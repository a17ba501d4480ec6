package madderrudder.coordination.heartbeat;

import java.util.List;
import madderrudder.coordination.state.Assignment;
import madderrudder.protocol.WorkerCommand;

/**
 * What {@link CommandPlanner} decided to tell one worker. Nothing has been sent or noted yet.
 *
 * @param commands the commands, in the order in which they are to be sent
 * @param starts the assignments that the commands start
 * @param stops the assignments that the commands stop; a stop of an unrecorded task has none
 * @param raiseToken whether the machine's fencing token has to be raised before it is sent along
 */
record CommandPlan(
    List<WorkerCommand> commands,
    List<Assignment> starts,
    List<Assignment> stops,
    boolean raiseToken) {}
