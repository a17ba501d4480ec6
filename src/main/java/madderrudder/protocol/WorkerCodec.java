package madderrudder.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import madderrudder.protocol.TaskStatus.ExitReason;
import madderrudder.protocol.TaskStatus.Phase;

/** Messages exchanged with workers. */
public final class WorkerCodec {
  private WorkerCodec() {}

  public static Heartbeat readReport(byte[] body) throws MalformedMessageException {
    Fields in = Json.readObject(body);
    List<TaskStatus> tasks = new ArrayList<>();
    if (in.has("strokes")) {
      for (Fields task : in.objects("strokes")) {
        tasks.add(readTask(task));
      }
    }
    return new Heartbeat(
        in.text("vessel"),
        in.text("addr", ""),
        in.text("build"),
        in.text("berth"),
        in.flag("driftwood", false),
        in.count("watch"),
        in.count("knot"),
        in.count("helm", 0),
        in.secondsAsMicros("recall_s", -1),
        tasks);
  }

  private static TaskStatus readTask(Fields in) throws MalformedMessageException {
    Phase phase =
        switch (in.text("trim")) {
          case "fetching" -> Phase.FETCHING;
          case "gathering" -> Phase.WAITING;
          case "running" -> Phase.RUNNING;
          case "flushing" -> Phase.SAVING;
          case "ended" -> Phase.EXITED;
          default -> throw new MalformedMessageException("field trim is invalid");
        };
    ExitReason why =
        phase != Phase.EXITED
            ? null
            : switch (in.text("wake", "")) {
              case "done" -> ExitReason.DONE;
              case "halted" -> ExitReason.STOPPED;
              case "mates_gone" -> ExitReason.PEERS;
              case "alone" -> ExitReason.ALONE;
              case "no_room" -> ExitReason.NO_ROOM;
              case "busy" -> ExitReason.BUSY;
              case "unknown" -> ExitReason.UNKNOWN;
              default -> ExitReason.ERROR;
            };
    return new TaskStatus(
        TaskId.parse(in.text("stroke")), in.count("launch"), phase, why, in.flag("stored", false));
  }

  /** The answer to a report. */
  public static byte[] answer(long token, List<WorkerCommand> orders) {
    return Json.object(
        out -> {
          out.writeNumberField("helm", token);
          writeOrders(out, orders);
        });
  }

  /** The body of a direct call to a worker's address. */
  public static byte[] direct(long token, long session, List<WorkerCommand> orders) {
    return Json.object(
        out -> {
          out.writeNumberField("helm", token);
          out.writeNumberField("watch", session);
          writeOrders(out, orders);
        });
  }

  /** The answer of a node that may not act; {@code leader} is null when nobody is known to lead. */
  public static byte[] redirect(String leader) {
    return Json.object(
        out -> {
          if (leader != null) {
            out.writeStringField("harbor", leader);
          }
        });
  }

  private static void writeOrders(JsonGenerator out, List<WorkerCommand> orders)
      throws IOException {
    out.writeArrayFieldStart("orders");
    for (WorkerCommand order : orders) {
      out.writeStartObject();
      out.writeStringField(
          "order",
          switch (order.op()) {
            case START -> "start";
            case STOP -> "stop";
            case FORGET -> "reap";
          });
      out.writeStringField("stroke", order.task().toString());
      out.writeNumberField("launch", order.attempt());
      if (order.op() == WorkerCommand.Op.STOP) {
        out.writeNumberField("slack_s", order.graceMicros() / 1e6);
      }
      out.writeEndObject();
    }
    out.writeEndArray();
  }
}
