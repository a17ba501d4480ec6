package madderrudder.protocol;

/**
 * Field names of messages to and from workers. The wire protocol uses nautical names; each constant
 * is named after the standard term that the rest of the program uses.
 */
final class WorkerFields {
  /** The machine's id: {@link Heartbeat#machine()}. */
  static final String MACHINE = "vessel";

  /** The worker's own address, for direct commands: {@link Heartbeat#address()}. */
  static final String ADDRESS = "addr";

  /** The machine's type: {@link Heartbeat#type()}. */
  static final String MACHINE_TYPE = "build";

  /** The machine's zone: {@link Heartbeat#zone()}. */
  static final String ZONE = "berth";

  /** Whether the machine is a spot machine: {@link Heartbeat#spot()}. */
  static final String SPOT = "driftwood";

  /** The worker's epoch, which is the number of its incarnation: {@link Heartbeat#epoch()}. */
  static final String EPOCH = "watch";

  /** The sequence number of the heartbeat within its epoch: {@link Heartbeat#sequence()}. */
  static final String SEQUENCE = "knot";

  /** The fencing token, which is the leader's term: {@link Heartbeat#token()}. */
  static final String FENCING_TOKEN = "helm";

  /** The time in seconds until the cloud reclaims a spot machine; absent without a notice. */
  static final String RECLAIM_NOTICE_SECONDS = "recall_s";

  /** The tasks on the machine: {@link Heartbeat#tasks()}. */
  static final String TASKS = "strokes";

  /** The id of one task: {@link TaskStatus#task()} and {@link WorkerCommand#task()}. */
  static final String TASK = "stroke";

  /**
   * The number of the attempt: {@link TaskStatus#attempt()} and {@link WorkerCommand#attempt()}.
   */
  static final String ATTEMPT = "launch";

  /** The phase that a task is in: {@link TaskStatus#phase()}. */
  static final String PHASE = "trim";

  /** The reason why a task exited: {@link TaskStatus#exitReason()}. */
  static final String EXIT_REASON = "wake";

  /** Whether a stopped task saved its progress: {@link TaskStatus#saved()}. */
  static final String SAVED = "stored";

  /** The commands to a worker, which the worker executes in order. */
  static final String COMMANDS = "orders";

  /** The operation of one command: {@link WorkerCommand#operation()}. */
  static final String OPERATION = "order";

  /** The time in seconds that a stopped task has to save: {@link WorkerCommand#graceMicros()}. */
  static final String GRACE_SECONDS = "slack_s";

  /** The name of the leader, to which the worker sends its next heartbeat. */
  static final String LEADER = "harbor";

  private WorkerFields() {}
}
