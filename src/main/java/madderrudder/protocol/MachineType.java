package madderrudder.protocol;

import java.util.List;

/**
 * A machine type of the cloud's catalog.
 *
 * @param name the type's name
 * @param capacity the resources of a machine of the type
 * @param cacheGb the size of a machine's image cache in GB
 * @param fetchGbPerSecond the rate at which a machine fetches images, in GB per second
 * @param price the price per hour of an ordinary machine
 * @param spotPrice the current price per hour of a spot machine
 * @param bootMicros the usual time from the rental request until the machine's worker runs
 * @param zones the zones in which the type is offered
 */
public record MachineType(
    String name,
    Resources capacity,
    double cacheGb,
    double fetchGbPerSecond,
    double price,
    double spotPrice,
    long bootMicros,
    List<String> zones) {

  /** Returns the price per hour of a spot machine or of an ordinary machine. */
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
