package madderrudder.coordination.leader;

import java.util.List;
import madderrudder.protocol.WorkerCommand;

/** The leader's reply to a heartbeat. */
public sealed interface HeartbeatReply {
  /**
   * The worker is answered, which renews its lease.
   *
   * @param token the fencing token that the commands carry
   * @param commands the commands, in the order in which the worker executes them; often none
   */
  record Answered(long token, List<WorkerCommand> commands) implements HeartbeatReply {}

  /** This node may not answer the worker, which has to look for another controller. */
  record Refused() implements HeartbeatReply {}
}
