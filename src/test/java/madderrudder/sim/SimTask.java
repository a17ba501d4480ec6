package madderrudder.sim;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;

/**
 * One attempt of a task on a machine. States and exit reasons have the names of the workers'
 * protocol.
 */
final class SimTask {
  final TaskId id;
  final long attempt;
  final Resources demand;
  String state = "fetching";

  /** Why the attempt ended, or null while it is active. */
  String exitReason;

  /** Its membership in a gang, or null if it has joined none. */
  SimGangs.Member gangMember;

  SimTask(TaskId id, long attempt, Resources demand) {
    this.id = id;
    this.attempt = attempt;
    this.demand = demand;
  }

  /** Whether the attempt has not ended yet. */
  boolean active() {
    return !state.equals("ended");
  }

  /** Writes the task as it appears in a heartbeat, or as if it had failed. */
  void write(JsonGenerator out, boolean failed) throws IOException {
    String reason = failed ? "error" : exitReason;
    out.writeStartObject();
    out.writeStringField("stroke", id.toString());
    out.writeNumberField("launch", attempt);
    out.writeStringField("trim", failed ? "ended" : state);
    if (reason != null) {
      out.writeStringField("wake", reason);
    }
    out.writeEndObject();
  }
}
