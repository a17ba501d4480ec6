package madderrudder.sim;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;

/** One attempt of a task on a machine, with its state as the protocol names it. */
final class SimTask {
  final TaskId id;
  final long attempt;
  final Resources demand;
  String state = "fetching";

  /** Why it ended, or null before. */
  String exitReason;

  /** Its place in its gang, or null. */
  SimGangs.Member gangMember;

  SimTask(TaskId id, long attempt, Resources demand) {
    this.id = id;
    this.attempt = attempt;
    this.demand = demand;
  }

  boolean active() {
    return !state.equals("ended");
  }

  /** Writes the task as a heartbeat reports it, or as if it had failed. */
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
