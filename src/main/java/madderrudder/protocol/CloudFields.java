package madderrudder.protocol;

/**
 * Field names of messages to and from the cloud. The wire protocol uses nautical names; each
 * constant is named after the standard term that the rest of the program uses.
 */
final class CloudFields {
  /** The machine types of the catalog. */
  static final String MACHINE_TYPES = "builds";

  /** The name of a machine type: {@link MachineType#name()}. */
  static final String TYPE_NAME = "label";

  /** The number of CPUs of a machine of the type. */
  static final String CPUS = "cores";

  /** The number of GPUs of a machine of the type. */
  static final String GPUS = "accelerators";

  /** The memory of a machine of the type in GB. */
  static final String MEMORY_GB = "mem_gb";

  /** The size of a machine's image cache in GB: {@link MachineType#cacheGb()}. */
  static final String IMAGE_CACHE_GB = "local_gb";

  /**
   * The rate at which a machine fetches images, in GB per second: {@link
   * MachineType#fetchGbPerSecond()}.
   */
  static final String FETCH_GB_PER_SECOND = "fetch_gb_per_s";

  /** The price per hour of an ordinary machine: {@link MachineType#price()}. */
  static final String PRICE = "price";

  /** The price per hour of a spot machine: {@link MachineType#spotPrice()}. */
  static final String SPOT_PRICE = "spot_price";

  /** The usual boot time of a machine in seconds: {@link MachineType#bootMicros()}. */
  static final String BOOT_SECONDS = "startup_s";

  /** The zones in which the type is offered: {@link MachineType#zones()}. */
  static final String ZONES = "berths";

  /** The idempotency key of a rental request. */
  static final String IDEMPOTENCY_KEY = "charter";

  /** The type of a listed machine, or of the machines to rent. */
  static final String MACHINE_TYPE = "build";

  /** The zone of a listed machine, or of the machines to rent. */
  static final String ZONE = "berth";

  /** Whether a listed machine is a spot machine, or whether to rent spot machines. */
  static final String SPOT = "driftwood";

  /** The number of machines to rent. */
  static final String COUNT = "how_many";

  /** The listed machines, or the ids of the machines that were rented or are to be deleted. */
  static final String MACHINES = "fleet";

  /** The id of a listed machine. */
  static final String ID = "id";

  /** The address of a listed machine's worker. */
  static final String ADDRESS = "addr";

  /** The state of a listed machine: {@link CloudCodec.MachineState}. */
  static final String STATE = "trim";

  /** The time in seconds since the rental request of a listed machine. */
  static final String AGE_SECONDS = "held_s";

  /** Whether further pages of the list follow. */
  static final String MORE = "more";

  private CloudFields() {}
}
