package madderrudder.coordination.leader;

import java.util.List;
import madderrudder.protocol.WorkerCommand;

/** The leader's reply to a heartbeat. */
public sealed interface HeartbeatReply {
  /**
   * An answer that renews the worker's lease.
   *
   * @param token the fencing token that accompanies the commands
   * @param commands the commands, in the order in which the worker executes them; may be empty
   */
  record Answered(long token, List<WorkerCommand> commands) implements HeartbeatReply {}

  /** This controller must not answer the worker, which has to try another controller. */
  record Refused() implements HeartbeatReply {}
}
