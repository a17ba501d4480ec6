package madderrudder.coordination.cloud;

import java.nio.charset.StandardCharsets;
import madderrudder.protocol.CloudCodec;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.transport.HttpResponse;

/** Turns the cloud's HTTP responses into typed results. Pure functions. */
final class CloudResponses {
  /**
   * The error text of a 503 that refuses a rental, from the protocol's section "Controller nodes ->
   * cloud", {@code POST /machines}. An outage is a 503 as well, with another text.
   */
  static final String NO_CAPACITY = "no capacity";

  private static final int MALFORMED_REQUEST = 400;
  private static final int SERVICE_UNAVAILABLE = 503;

  private CloudResponses() {}

  /** Reads one kind of response body. */
  private interface BodyReader<T> {
    T read(byte[] body) throws MalformedMessageException;
  }

  static RentResult rent(HttpResponse response) {
    if (response.ok()) {
      return rented(response.body());
    }
    if (response.status() == SERVICE_UNAVAILABLE && mentionsNoCapacity(response)) {
      return new RentResult.NoCapacity();
    }
    if (response.status() == MALFORMED_REQUEST) {
      return new RentResult.Rejected();
    }
    return new RentResult.Unknown(response.status());
  }

  private static RentResult rented(byte[] body) {
    try {
      return new RentResult.Rented(CloudCodec.readRented(body));
    } catch (MalformedMessageException e) {
      return new RentResult.Malformed(e.getMessage());
    }
  }

  private static boolean mentionsNoCapacity(HttpResponse response) {
    return new String(response.body(), StandardCharsets.UTF_8).contains(NO_CAPACITY);
  }

  static DeleteResult delete(HttpResponse response) {
    return response.ok() ? DeleteResult.DELETED : DeleteResult.UNKNOWN;
  }

  static CloudResult<CloudCodec.Page> list(HttpResponse response) {
    return read(response, CloudCodec::readPage);
  }

  static CloudResult<CatalogDocument> catalog(HttpResponse response) {
    return read(response, body -> new CatalogDocument(body, Json.readObject(body)));
  }

  private static <T> CloudResult<T> read(HttpResponse response, BodyReader<T> reader) {
    if (!response.ok()) {
      return new CloudResult.Unavailable<>(response.status());
    }
    try {
      return new CloudResult.Received<>(reader.read(response.body()));
    } catch (MalformedMessageException e) {
      return new CloudResult.Malformed<>(e.getMessage());
    }
  }
}
