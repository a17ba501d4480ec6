package madderrudder.coordination.cloud;

/**
 * The outcome of a request that only reads from the cloud. It can be repeated whatever came of it.
 *
 * @param <T> what the response says when it can be read
 */
public sealed interface CloudResult<T> {
  /**
   * The cloud answered, and the response could be read.
   *
   * @param value what the response says
   */
  record Received<T>(T value) implements CloudResult<T> {}

  /**
   * The cloud answered with status 200, but the body is not what the protocol says.
   *
   * @param reason what is wrong with the body
   */
  record Malformed<T>(String reason) implements CloudResult<T> {}

  /**
   * There is nothing to read: an outage, the rate was exceeded, or no response came in time.
   *
   * @param status the HTTP status, or one of the negative values in {@link
   *     madderrudder.transport.HttpResponse}
   */
  record Unavailable<T>(int status) implements CloudResult<T> {}
}
