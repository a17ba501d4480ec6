package madderrudder.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import madderrudder.protocol.TaskReport.Phase;
import madderrudder.protocol.TaskReport.Why;

/** Messages exchanged with workers. */
public final class WorkerCodec {
  private WorkerCodec() {}

  public static WorkerReport readReport(byte[] body) throws MalformedMessage {
    Fields in = Json.readObject(body);
    List<TaskReport> tasks = new ArrayList<>();
    if (in.has("strokes")) {
      for (Fields task : in.objects("strokes")) {
        tasks.add(readTask(task));
      }
    }
    return new WorkerReport(
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

  private static TaskReport readTask(Fields in) throws MalformedMessage {
    Phase phase =
        switch (in.text("trim")) {
          case "fetching" -> Phase.FETCHING;
          case "gathering" -> Phase.WAITING;
          case "running" -> Phase.RUNNING;
          case "flushing" -> Phase.SAVING;
          case "ended" -> Phase.EXITED;
          default -> throw new MalformedMessage("field trim is invalid");
        };
    Why why =
        phase != Phase.EXITED
            ? null
            : switch (in.text("wake", "")) {
              case "done" -> Why.DONE;
              case "halted" -> Why.STOPPED;
              case "mates_gone" -> Why.PEERS;
              case "alone" -> Why.ALONE;
              case "no_room" -> Why.NO_ROOM;
              case "busy" -> Why.BUSY;
              case "unknown" -> Why.UNKNOWN;
              default -> Why.ERROR;
            };
    return new TaskReport(
        TaskId.parse(in.text("stroke")), in.count("launch"), phase, why, in.flag("stored", false));
  }

  /** The answer to a report. */
  public static byte[] answer(long token, List<Order> orders) {
    return Json.object(
        out -> {
          out.writeNumberField("helm", token);
          writeOrders(out, orders);
        });
  }

  /** The body of a direct call to a worker's address. */
  public static byte[] direct(long token, long session, List<Order> orders) {
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

  private static void writeOrders(JsonGenerator out, List<Order> orders) throws IOException {
    out.writeArrayFieldStart("orders");
    for (Order order : orders) {
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
      if (order.op() == Order.Op.STOP) {
        out.writeNumberField("slack_s", order.graceMicros() / 1e6);
      }
      out.writeEndObject();
    }
    out.writeEndArray();
  }
}
