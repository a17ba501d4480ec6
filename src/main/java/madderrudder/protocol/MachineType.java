package madderrudder.protocol;

import java.util.List;

/** A type of machine as the cloud's catalogue describes it; prices are per hour. */
public record MachineType(
    String name,
    Resources capacity,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    long bootMicros,
    List<String> zones) {

  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
