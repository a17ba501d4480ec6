package madderrudder.coordination.cloud;

import java.util.List;

/**
 * The outcome of a rental request. {@link Rented}, {@link NoCapacity} and {@link Rejected} are
 * final. After {@link Malformed} and {@link Unknown} the cloud may have rented machines, so the
 * request must be repeated under the same id until a final outcome is known.
 */
public sealed interface RentResult {
  /**
   * The cloud rented machines.
   *
   * @param machineIds the machines, possibly fewer than were asked for
   */
  record Rented(List<String> machineIds) implements RentResult {}

  /** The cloud has no machine of this type, zone and kind now, and rented none. */
  record NoCapacity() implements RentResult {}

  /** The cloud calls the request malformed, and rented nothing. Repeating it is of no use. */
  record Rejected() implements RentResult {}

  /**
   * The cloud rented machines, but the body does not say which.
   *
   * @param reason what is wrong with the body
   */
  record Malformed(String reason) implements RentResult {}

  /**
   * It is not known whether the cloud acted on the request: an outage, the rate was exceeded, or no
   * response came in time.
   *
   * @param status the HTTP status, or one of the negative values in {@link
   *     madderrudder.transport.HttpResponse}
   */
  record Unknown(int status) implements RentResult {}
}
