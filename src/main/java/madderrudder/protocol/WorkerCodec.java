package madderrudder.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import madderrudder.protocol.TaskStatus.ExitReason;
import madderrudder.protocol.TaskStatus.Phase;

/** Decodes heartbeats of workers and encodes responses and commands to workers. */
public final class WorkerCodec {
  private static final EnumNames<Phase> PHASES =
      new EnumNames<>(Phase.class)
          .with("fetching", Phase.FETCHING)
          .with("gathering", Phase.WAITING)
          .with("running", Phase.RUNNING)
          .with("flushing", Phase.SAVING)
          .with("ended", Phase.EXITED);

  private static final EnumNames<ExitReason> EXIT_REASONS =
      new EnumNames<>(ExitReason.class)
          .with("done", ExitReason.DONE)
          .with("halted", ExitReason.STOPPED)
          .with("mates_gone", ExitReason.PEERS_GONE)
          .with("alone", ExitReason.GANG_INCOMPLETE)
          .with("error", ExitReason.ERROR)
          .with("no_room", ExitReason.INSUFFICIENT_RESOURCES)
          .with("busy", ExitReason.OTHER_ATTEMPT)
          .with("unknown", ExitReason.UNKNOWN);

  private static final EnumNames<WorkerCommand.Operation> OPERATIONS =
      new EnumNames<>(WorkerCommand.Operation.class)
          .with("start", WorkerCommand.Operation.START)
          .with("stop", WorkerCommand.Operation.STOP)
          .with("reap", WorkerCommand.Operation.REAP);

  private WorkerCodec() {}

  /**
   * Reads a heartbeat, which is also the body of a worker's response to direct commands.
   *
   * @throws MalformedMessageException if the body is not a JSON object, or a field is missing or
   *     invalid
   */
  public static Heartbeat readHeartbeat(byte[] body) throws MalformedMessageException {
    JsonFields in = Json.readObject(body);
    // The tasks are read first: the order determines which of several invalid fields the exception
    // names.
    List<TaskStatus> tasks = readTasks(in);
    return new Heartbeat(
        in.text(WorkerFields.MACHINE),
        in.text(WorkerFields.ADDRESS, ""),
        in.text(WorkerFields.MACHINE_TYPE),
        in.text(WorkerFields.ZONE),
        in.flag(WorkerFields.SPOT, false),
        in.count(WorkerFields.EPOCH),
        in.count(WorkerFields.SEQUENCE),
        in.count(WorkerFields.FENCING_TOKEN, 0),
        in.secondsAsMicros(WorkerFields.RECLAIM_NOTICE_SECONDS, -1),
        tasks);
  }

  private static List<TaskStatus> readTasks(JsonFields in) throws MalformedMessageException {
    List<TaskStatus> tasks = new ArrayList<>();
    if (in.has(WorkerFields.TASKS)) {
      for (JsonFields task : in.objects(WorkerFields.TASKS)) {
        tasks.add(readTask(task));
      }
    }
    return tasks;
  }

  private static TaskStatus readTask(JsonFields in) throws MalformedMessageException {
    Phase phase = PHASES.read(in, WorkerFields.PHASE);
    ExitReason exitReason = phase == Phase.EXITED ? readExitReason(in) : null;
    return new TaskStatus(
        TaskId.parse(in.text(WorkerFields.TASK)),
        in.count(WorkerFields.ATTEMPT),
        phase,
        exitReason,
        in.flag(WorkerFields.SAVED, false));
  }

  /** Reads the exit reason; an unknown or absent one counts as {@link ExitReason#ERROR}. */
  private static ExitReason readExitReason(JsonFields in) throws MalformedMessageException {
    return EXIT_REASONS.valueOf(in.text(WorkerFields.EXIT_REASON, ""), ExitReason.ERROR);
  }

  /** Encodes the response to a heartbeat: the leader's fencing token and commands to the worker. */
  public static byte[] heartbeatResponse(long token, List<WorkerCommand> commands) {
    return Json.object(
        out -> {
          out.writeNumberField(WorkerFields.FENCING_TOKEN, token);
          writeCommands(out, commands);
        });
  }

  /**
   * Encodes the body of direct commands to a worker.
   *
   * @param token the leader's fencing token
   * @param epoch the epoch of the worker; a worker in another epoch refuses the commands
   */
  public static byte[] directCommands(long token, long epoch, List<WorkerCommand> commands) {
    return Json.object(
        out -> {
          out.writeNumberField(WorkerFields.FENCING_TOKEN, token);
          out.writeNumberField(WorkerFields.EPOCH, epoch);
          writeCommands(out, commands);
        });
  }

  /**
   * Encodes a redirect to the leader: the response of a controller that may not give commands.
   *
   * @param leader the name of the leader; null if none is known
   */
  public static byte[] redirect(String leader) {
    return Json.object(
        out -> {
          if (leader != null) {
            out.writeStringField(WorkerFields.LEADER, leader);
          }
        });
  }

  private static void writeCommands(JsonGenerator out, List<WorkerCommand> commands)
      throws IOException {
    out.writeArrayFieldStart(WorkerFields.COMMANDS);
    for (WorkerCommand command : commands) {
      out.writeStartObject();
      out.writeStringField(WorkerFields.OPERATION, OPERATIONS.nameOf(command.operation()));
      out.writeStringField(WorkerFields.TASK, command.task().toString());
      out.writeNumberField(WorkerFields.ATTEMPT, command.attempt());
      if (command.operation() == WorkerCommand.Operation.STOP) {
        out.writeNumberField(WorkerFields.GRACE_SECONDS, command.graceMicros() / 1e6);
      }
      out.writeEndObject();
    }
    out.writeEndArray();
  }
}
