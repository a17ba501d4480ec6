package madderrudder.protocol;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;

/** Encodes requests to the cloud and decodes its responses. */
public final class CloudCodec {
  private static final EnumNames<MachineState> STATES =
      new EnumNames<>(MachineState.class)
          .with("booting", MachineState.BOOTING)
          .with("running", MachineState.RUNNING)
          .with("failed", MachineState.FAILED);

  /** The state of a machine in the cloud's list. */
  public enum MachineState {
    /** Rented; according to the cloud, its worker does not run yet. */
    BOOTING,
    /** Running, or failed so recently that the list does not show it yet. */
    RUNNING,
    /** Failed; the cloud no longer charges for it and lists it until it is deleted. */
    FAILED
  }

  /**
   * A machine in the cloud's list, which the cloud updates with a delay.
   *
   * @param id the machine's id
   * @param address the address of its worker; empty if it is not known yet
   * @param type the name of its machine type
   * @param zone its zone
   * @param spot whether it is a spot machine
   * @param state its state
   * @param ageMicros the time from its rental to the creation of the list
   */
  public record ListedMachine(
      String id,
      String address,
      String type,
      String zone,
      boolean spot,
      MachineState state,
      long ageMicros) {}

  /**
   * A page of the machine list.
   *
   * @param machines the machines, ordered by id
   * @param more whether further pages follow
   */
  public record Page(List<ListedMachine> machines, boolean more) {}

  private CloudCodec() {}

  /**
   * Reads the catalog of machine types.
   *
   * @throws MalformedMessageException if a field is missing or invalid
   */
  public static List<MachineType> readCatalog(JsonFields body) throws MalformedMessageException {
    List<MachineType> types = new ArrayList<>();
    for (JsonFields type : body.objects(CloudFields.MACHINE_TYPES)) {
      types.add(readType(type));
    }
    return types;
  }

  private static MachineType readType(JsonFields in) throws MalformedMessageException {
    return new MachineType(
        in.text(CloudFields.TYPE_NAME),
        Resources.available(
            in.decimal(CloudFields.CPUS),
            in.decimal(CloudFields.GPUS, BigDecimal.ZERO),
            in.decimal(CloudFields.MEMORY_GB)),
        in.amount(CloudFields.IMAGE_CACHE_GB, 0),
        in.amount(CloudFields.FETCH_GB_PER_SECOND, 1),
        in.amount(CloudFields.PRICE),
        in.amount(CloudFields.SPOT_PRICE, in.amount(CloudFields.PRICE)),
        in.secondsAsMicros(CloudFields.BOOT_SECONDS),
        List.copyOf(in.texts(CloudFields.ZONES)));
  }

  /**
   * Encodes the body of a request to rent machines.
   *
   * @param idempotencyKey the key of the request; the cloud rents no further machines when a
   *     request with the same key is repeated
   */
  public static byte[] rentRequest(
      String idempotencyKey, String type, String zone, boolean spot, int count) {
    return Json.object(
        out -> {
          out.writeStringField(CloudFields.IDEMPOTENCY_KEY, idempotencyKey);
          out.writeStringField(CloudFields.MACHINE_TYPE, type);
          out.writeStringField(CloudFields.ZONE, zone);
          out.writeBooleanField(CloudFields.SPOT, spot);
          out.writeNumberField(CloudFields.COUNT, count);
        });
  }

  /**
   * Reads the ids of the machines that were rented.
   *
   * @throws MalformedMessageException if the body is not a list of ids
   */
  public static List<String> readRented(byte[] body) throws MalformedMessageException {
    return Json.readObject(body).texts(CloudFields.MACHINES);
  }

  /**
   * Encodes the body of a request to delete machines.
   *
   * @param machines the ids of the machines
   */
  public static byte[] deleteRequest(List<String> machines) {
    return Json.object(
        out -> {
          out.writeArrayFieldStart(CloudFields.MACHINES);
          for (String machine : machines) {
            out.writeString(machine);
          }
          out.writeEndArray();
        });
  }

  /**
   * Reads a page of the machine list.
   *
   * @throws MalformedMessageException if a field is missing or invalid
   */
  public static Page readPage(byte[] body) throws MalformedMessageException {
    JsonFields in = Json.readObject(body);
    List<ListedMachine> machines = new ArrayList<>();
    for (JsonFields machine : in.objects(CloudFields.MACHINES)) {
      machines.add(readMachine(machine));
    }
    return new Page(machines, in.flag(CloudFields.MORE, false));
  }

  private static ListedMachine readMachine(JsonFields in) throws MalformedMessageException {
    MachineState state = STATES.valueOf(in.text(CloudFields.STATE), MachineState.RUNNING);
    return new ListedMachine(
        in.text(CloudFields.ID),
        in.text(CloudFields.ADDRESS, ""),
        in.text(CloudFields.MACHINE_TYPE),
        in.text(CloudFields.ZONE),
        in.flag(CloudFields.SPOT, false),
        state,
        in.secondsAsMicros(CloudFields.AGE_SECONDS, 0));
  }
}
