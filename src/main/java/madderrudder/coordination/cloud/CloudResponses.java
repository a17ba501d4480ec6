package madderrudder.coordination.cloud;

import java.nio.charset.StandardCharsets;
import madderrudder.protocol.CloudCodec;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.transport.HttpResponse;

/** Converts the cloud's HTTP responses into typed results. Pure functions. */
final class CloudResponses {
  /**
   * The error text of a 503 response that refuses a rental for lack of capacity, as defined in the
   * protocol's section "Controller nodes -> cloud", {@code POST /machines}. During an outage the
   * cloud also answers 503, but with another text.
   */
  static final String NO_CAPACITY = "no capacity";

  private static final int BAD_REQUEST = 400;
  private static final int SERVICE_UNAVAILABLE = 503;

  private CloudResponses() {}

  /** Parses one kind of response body. */
  private interface BodyReader<T> {
    T read(byte[] body) throws MalformedMessageException;
  }

  /** Returns the outcome of a rental request. */
  static RentResult rent(HttpResponse response) {
    if (response.isOk()) {
      return readRented(response.body());
    }
    if (response.status() == SERVICE_UNAVAILABLE && saysNoCapacity(response)) {
      return new RentResult.NoCapacity();
    }
    if (response.status() == BAD_REQUEST) {
      return new RentResult.Rejected();
    }
    return new RentResult.Unknown(response.status());
  }

  private static RentResult readRented(byte[] body) {
    try {
      return new RentResult.Rented(CloudCodec.readRented(body));
    } catch (MalformedMessageException e) {
      return new RentResult.Malformed(e.getMessage());
    }
  }

  private static boolean saysNoCapacity(HttpResponse response) {
    return new String(response.body(), StandardCharsets.UTF_8).contains(NO_CAPACITY);
  }

  /** Returns the outcome of a deletion; the body of the response is not read. */
  static DeleteResult delete(HttpResponse response) {
    return response.isOk() ? DeleteResult.DELETED : DeleteResult.UNKNOWN;
  }

  /** Returns a page of the machine list. */
  static CloudResult<CloudCodec.Page> list(HttpResponse response) {
    return read(response, CloudCodec::readPage);
  }

  /** Returns the catalog, whose machine types are not validated yet. */
  static CloudResult<CatalogDocument> catalog(HttpResponse response) {
    return read(response, body -> new CatalogDocument(body, Json.readObject(body)));
  }

  private static <T> CloudResult<T> read(HttpResponse response, BodyReader<T> reader) {
    if (!response.isOk()) {
      return new CloudResult.Unavailable<>(response.status());
    }
    try {
      return new CloudResult.Received<>(reader.read(response.body()));
    } catch (MalformedMessageException e) {
      return new CloudResult.Malformed<>(e.getMessage());
    }
  }
}
