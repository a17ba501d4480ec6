package madderrudder.coordination.cloud;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import madderrudder.protocol.CloudCodec;
import madderrudder.protocol.Json;
import madderrudder.transport.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against misread responses of the cloud. In particular, a rental whose outcome is unknown
 * must not count as refused: it would not be repeated, and the machines that the cloud may have
 * rented would stay unused.
 */
class CloudResponsesTest {
  private static HttpResponse response(int status, String body) {
    return HttpResponse.of(status, body.getBytes(StandardCharsets.UTF_8));
  }

  @ParameterizedTest
  @ValueSource(strings = {"{\"fleet\":[\"m-1\",\"m-2\"]}", "{\"fleet\":[\"m-1\",\"m-2\"],\"x\":1}"})
  void rentalAnsweredWithMachinesIsRented(String body) {
    assertEquals(
        new RentResult.Rented(List.of("m-1", "m-2")), CloudResponses.rent(response(200, body)));
  }

  @Test
  void rentalRefusedForLackOfMachinesIsNoCapacity() {
    assertEquals(
        new RentResult.NoCapacity(),
        CloudResponses.rent(HttpResponse.of(503, Json.error("no capacity"))));
  }

  @Test
  void rentalWithStatus400IsRejected() {
    assertEquals(
        new RentResult.Rejected(),
        CloudResponses.rent(HttpResponse.of(400, Json.error("malformed"))));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "{}", "[]", "{\"fleet\":null}", "{\"fleet\":[1]}", "{\"fleet\":[\"m-1\""})
  void rentalWithAnUnreadableBodyIsMalformed(String body) {
    assertInstanceOf(RentResult.Malformed.class, CloudResponses.rent(response(200, body)));
  }

  /** The text that refuses a rental is significant in a response with status 503 only. */
  @ParameterizedTest
  @ValueSource(
      ints = {500, 502, 504, 429, 409, 404, 201, HttpResponse.NO_RESPONSE, HttpResponse.NOT_SENT})
  void rentalWithAnyOtherStatusIsUnknownRegardlessOfTheBody(int status) {
    assertEquals(
        new RentResult.Unknown(status),
        CloudResponses.rent(HttpResponse.of(status, Json.error("no capacity"))));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "{\"error\":\"trouble\"}", "{\"error\":\"No capacity\"}"})
  void rentalDuringAnOutageIsUnknown(String body) {
    assertEquals(new RentResult.Unknown(503), CloudResponses.rent(response(503, body)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"{}", "", "not JSON"})
  void deletionIsConfirmedByItsStatusRegardlessOfTheBody(String body) {
    assertSame(DeleteResult.DELETED, CloudResponses.delete(response(200, body)));
  }

  @ParameterizedTest
  @ValueSource(ints = {400, 404, 429, 503, HttpResponse.NO_RESPONSE, HttpResponse.NOT_SENT})
  void deletionWithAnyOtherStatusIsUnknown(int status) {
    assertSame(DeleteResult.UNKNOWN, CloudResponses.delete(response(status, "{}")));
  }

  @Test
  void listPageHasItsMachinesAndTheMoreFlag() {
    String body =
        "{\"fleet\":[{\"id\":\"m-7\",\"addr\":\"10.0.0.7:9\",\"build\":\"g8\",\"berth\":\"a\","
            + "\"driftwood\":true,\"trim\":\"failed\",\"held_s\":1.5}],\"more\":true}";
    CloudCodec.ListedMachine machine =
        new CloudCodec.ListedMachine(
            "m-7", "10.0.0.7:9", "g8", "a", true, CloudCodec.MachineState.FAILED, 1_500_000);
    assertEquals(
        new CloudResult.Received<>(new CloudCodec.Page(List.of(machine), true)),
        CloudResponses.list(response(200, body)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "{}", "{\"fleet\":[{}]}", "{\"fleet\":[\"m-7\"]}"})
  void listPageWithAnUnreadableBodyIsMalformed(String body) {
    assertInstanceOf(CloudResult.Malformed.class, CloudResponses.list(response(200, body)));
  }

  @ParameterizedTest
  @ValueSource(ints = {400, 429, 503, HttpResponse.NO_RESPONSE, HttpResponse.NOT_SENT})
  void listPageWithAnyOtherStatusIsUnavailable(int status) {
    assertEquals(
        new CloudResult.Unavailable<>(status),
        CloudResponses.list(response(status, "{\"fleet\":[]}")));
  }

  @Test
  void catalogKeepsItsTextUnchanged() {
    byte[] body = "{ \"builds\" : [] }".getBytes(StandardCharsets.UTF_8);
    CloudResult.Received<?> received =
        assertInstanceOf(
            CloudResult.Received.class, CloudResponses.catalog(HttpResponse.of(200, body)));
    CatalogDocument catalog = assertInstanceOf(CatalogDocument.class, received.value());
    assertSame(body, catalog.json());
    assertTrue(catalog.fields().has("builds"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "[]", "not JSON"})
  void catalogThatIsNotAnObjectIsMalformed(String body) {
    assertInstanceOf(CloudResult.Malformed.class, CloudResponses.catalog(response(200, body)));
  }
}
