package madderrudder.coordination.cloud;

/**
 * The outcome of a request that only reads from the cloud. The request can be repeated after any
 * outcome.
 *
 * @param <T> the type of the parsed response
 */
public sealed interface CloudResult<T> {
  /**
   * The cloud answered, and the response could be parsed.
   *
   * @param value the parsed response
   */
  record Received<T>(T value) implements CloudResult<T> {}

  /**
   * The cloud answered with status 200, but the body does not follow the protocol.
   *
   * @param reason the error in the body
   */
  record Malformed<T>(String reason) implements CloudResult<T> {}

  /**
   * There is no usable response: the cloud has an outage, the request rate was exceeded, or no
   * response arrived in time.
   *
   * @param status the HTTP status, or one of the negative values in {@link
   *     madderrudder.transport.HttpResponse}
   */
  record Unavailable<T>(int status) implements CloudResult<T> {}
}
