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
   * @param machineIds the machines, possibly fewer than requested
   */
  record Rented(List<String> machineIds) implements RentResult {}

  /** The cloud currently has no machine in this capacity pool, and rented none. */
  record NoCapacity() implements RentResult {}

  /** The cloud rejected the request as malformed, and rented nothing. A retry cannot succeed. */
  record Rejected() implements RentResult {}

  /**
   * The cloud rented machines, but the body of the response does not name them.
   *
   * @param reason the error in the body
   */
  record Malformed(String reason) implements RentResult {}

  /**
   * It is not known whether the cloud executed the request: the cloud has an outage, the request
   * rate was exceeded, or no response arrived in time.
   *
   * @param status the HTTP status, or one of the negative values in {@link
   *     madderrudder.transport.HttpResponse}
   */
  record Unknown(int status) implements RentResult {}
}
