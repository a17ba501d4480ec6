package madderrudder.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Parses example messages. Guards against results that depend on where the byte stream is split,
 * malformed messages that are accepted or get the wrong status, and limits that are not enforced.
 */
class HttpParserTest {
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final String REQUEST =
      "POST /v1/jobs?x=1 HTTP/1.1\r\nHost: a\r\ncontent-length: 11\r\nConnection: close\r\n\r\nhello world";
  private static final String RESPONSES =
      "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\nRetry-After: 7\r\n\r\n"
          + "4;x=y\r\nwiki\r\n5\r\npedia\r\n0\r\nTrailer: t\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static IntStream requestSplitOffsets() {
    return IntStream.rangeClosed(0, REQUEST.length());
  }

  @ParameterizedTest
  @MethodSource("requestSplitOffsets")
  void parsesRequestThatArrivesInTwoPieces(int split) throws HttpParseException {
    HttpParser parser = HttpParser.forRequests(MAX_BODY_BYTES);
    boolean completeAfterFirstPiece = parser.feed(bytes(REQUEST.substring(0, split)));
    assertEquals(split == REQUEST.length(), completeAfterFirstPiece);
    assertTrue(completeAfterFirstPiece || parser.feed(bytes(REQUEST.substring(split))));
    HttpRequest request = parser.request();
    assertEquals("POST", request.method());
    assertEquals("/v1/jobs", request.path());
    assertEquals("hello world", new String(request.body(), StandardCharsets.UTF_8));
    assertTrue(request.closesConnection());
  }

  private static IntStream responsesSplitOffsets() {
    return IntStream.rangeClosed(0, RESPONSES.length());
  }

  @ParameterizedTest
  @MethodSource("responsesSplitOffsets")
  void parsesChunkedResponseAndNextResponseThatArriveInTwoPieces(int split)
      throws HttpParseException {
    HttpParser parser = HttpParser.forResponses(MAX_BODY_BYTES);
    ByteBuffer all = bytes(RESPONSES);
    all.limit(split);
    boolean firstComplete = parser.feed(all);
    all.limit(RESPONSES.length());
    assertTrue(firstComplete || parser.feed(all));
    assertEquals("wikipedia", new String(parser.response().body(), StandardCharsets.UTF_8));
    assertEquals(7, parser.response().retryAfterS());
    assertTrue(parser.feed(all));
    assertEquals(200, parser.response().status());
  }

  @ParameterizedTest
  @CsvSource({
    "413,POST / HTTP/1.1|Content-Length: 65537||",
    "413,POST / HTTP/1.1|Content-Length: 99999999999||",
    "400,POST / HTTP/1.1|Content-Length: -1||",
    "400,POST / HTTP/1.1|Content-Length: 1|Content-Length: 2||",
    "400,POST / HTTP/1.1|Content-Length: 1|Transfer-Encoding: chunked||",
    "400,GET /a b HTTP/1.1||",
    "400,GET||",
    "505,GET / HTTP/3.0||",
    "501,POST / HTTP/1.1|Transfer-Encoding: gzip||",
    "400,GET / HTTP/1.1|no colon||",
    "413,POST / HTTP/1.1|Transfer-Encoding: chunked||fffffff|"
  })
  void rejectsMalformedRequestWithStatus(int status, String text) {
    HttpParser parser = HttpParser.forRequests(MAX_BODY_BYTES);
    HttpParseException rejection =
        assertThrows(HttpParseException.class, () -> parser.feed(bytes(text.replace("|", "\r\n"))));
    assertEquals(status, rejection.status());
  }

  @Test
  void rejectsHeadThatDoesNotEnd() {
    HttpParser parser = HttpParser.forRequests(MAX_BODY_BYTES);
    HttpParseException rejection =
        assertThrows(HttpParseException.class, () -> feedEndlessHeaders(parser));
    assertEquals(431, rejection.status());
  }

  private static void feedEndlessHeaders(HttpParser parser) throws HttpParseException {
    parser.feed(bytes("GET / HTTP/1.1\r\n"));
    for (int i = 0; i < 10_000; i++) {
      parser.feed(bytes("X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"));
    }
  }

  @Test
  void parsesOrRejectsRandomInput() {
    SplittableRandom random = new SplittableRandom(7);
    String alphabet =
        "GET /POST HTTP/1.1\r\n\r\nContent-Length: 5Transfer-Encoding: chunked0\u0000\u00ff";
    int rejectedCount = 0;
    for (int round = 0; round < 3_000; round++) {
      StringBuilder input = new StringBuilder(round % 2 == 0 ? "POST / HTTP/1.1\r\n" : "");
      for (int i = 0; i < 120; i++) {
        input.append(alphabet.charAt(random.nextInt(alphabet.length())));
      }
      HttpParser parser = HttpParser.forRequests(64);
      ByteBuffer in = bytes(input.toString());
      try {
        while (in.hasRemaining() && parser.feed(in)) {
          assertTrue(parser.request().body().length <= 64);
          assertFalse(parser.isMidMessage());
        }
      } catch (HttpParseException e) {
        rejectedCount++;
      }
    }
    assertTrue(rejectedCount > 1_000, "only " + rejectedCount + " inputs rejected");
  }
}
