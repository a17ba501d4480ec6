package madderrudder.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Whatever arrives, and however it is split, is read as messages or refused, within the bounds of
 * the parser.
 */
class HttpParserPropertiesTest {
  private static final int MAX_BODY = 64 * 1024;
  private static final int MAX_HEAD = 16 * 1024;

  /** A request as its sender means it. */
  private record Sent(
      String method, String target, List<Integer> chunks, boolean chunked, boolean close) {
    byte[] body() {
      byte[] body = new byte[chunks.stream().mapToInt(Integer::intValue).sum()];
      for (int i = 0; i < body.length; i++) {
        body[i] = (byte) (i * 31 + target.length());
      }
      return body;
    }

    byte[] bytes() {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      String head =
          method
              + " "
              + target
              + " HTTP/1.1\r\nHost: a\r\n"
              + (close ? "Connection: close\r\n" : "");
      byte[] body = body();
      if (!chunked) {
        text(out, head + "Content-Length: " + body.length + "\r\n\r\n");
        out.writeBytes(body);
        return out.toByteArray();
      }
      text(out, head + "Transfer-Encoding: chunked\r\n\r\n");
      int from = 0;
      for (int chunk : chunks) {
        text(out, Integer.toHexString(chunk) + "\r\n");
        out.write(body, from, chunk);
        text(out, "\r\n");
        from += chunk;
      }
      text(out, "0\r\n\r\n");
      return out.toByteArray();
    }
  }

  private static void text(ByteArrayOutputStream out, String text) {
    out.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String described(String method, String target, byte[] body, boolean close) {
    return method + " " + target + " " + Arrays.hashCode(body) + " " + close;
  }

  /**
   * What a parser makes of a stream that arrives in pieces: its messages, and at the end a refusal
   * or what is open.
   */
  private static List<String> outcome(byte[] stream, List<Integer> cuts, int maxBody) {
    List<String> outcome = new ArrayList<>();
    HttpParser parser = HttpParser.forRequests(maxBody);
    int[] ends =
        cuts.stream().mapToInt(cut -> Math.floorMod(cut, stream.length + 1)).sorted().toArray();
    int from = 0;
    for (int i = 0; i <= ends.length; i++) {
      int end = i == ends.length ? stream.length : ends[i];
      ByteBuffer piece = ByteBuffer.wrap(stream, from, end - from);
      try {
        while (parser.feed(piece)) {
          HttpRequest request = parser.request();
          assertTrue(request.body().length <= maxBody, "a body beyond the bound");
          outcome.add(
              described(request.method(), request.target(), request.body(), request.close()));
        }
      } catch (HttpParseException e) {
        outcome.add("refused with " + e.status());
        return outcome;
      }
      from = end;
    }
    outcome.add(parser.midMessage() ? "open" : "between messages");
    return outcome;
  }

  @Provide
  Arbitrary<List<Sent>> requests() {
    Arbitrary<String> target =
        Arbitraries.strings().withCharRange('!', '~').ofMaxLength(200).map(rest -> "/" + rest);
    return Combinators.combine(
            Arbitraries.of("GET", "POST", "DELETE"),
            target,
            Arbitraries.integers().between(1, 3000).list().ofMaxSize(5),
            Arbitraries.of(true, false),
            Arbitraries.of(true, false))
        .as(Sent::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(4);
  }

  @Property(seed = "11")
  void readsTheRequestsThatWereSentHoweverTheyAreSplit(
      @ForAll("requests") List<Sent> requests, @ForAll @Size(max = 40) List<Integer> cuts) {
    ByteArrayOutputStream stream = new ByteArrayOutputStream();
    List<String> expected = new ArrayList<>();
    for (Sent request : requests) {
      stream.writeBytes(request.bytes());
      expected.add(described(request.method(), request.target(), request.body(), request.close()));
    }
    expected.add("between messages");
    assertEquals(expected, outcome(stream.toByteArray(), cuts, MAX_BODY));
  }

  @Provide
  Arbitrary<byte[]> nearlyRequests() {
    Arbitrary<String> words =
        Arbitraries.of(
            "GET / HTTP/1.1\r\n",
            "POST /v1/jobs HTTP/1.1\r\n",
            "GET",
            " ",
            "/",
            "\r",
            "\n",
            "\r\n",
            "\r\n\r\n",
            "HTTP/1.0\r\n",
            "Content-Length: 5\r\n",
            "Content-Length: 70\r\n",
            "Content-Length:",
            "Transfer-Encoding: chunked\r\n",
            "Transfer-Encoding: gzip\r\n",
            "5\r\nhello\r\n",
            "0\r\n\r\n",
            "ffffffff\r\n",
            "-1\r\n",
            "Connection: close\r\n",
            ": x\r\n",
            "X: " + "y".repeat(300),
            "3;ext=1\r\nabc",
            "\u0000",
            "\u00e9",
            "99999999999999999999");
    Arbitrary<String> noise =
        Arbitraries.strings().withCharRange('\u0000', '\u00ff').ofMaxLength(6);
    return Arbitraries.frequencyOf(Tuple.of(9, words), Tuple.of(1, noise))
        .list()
        .ofMaxSize(30)
        .map(parts -> String.join("", parts).getBytes(StandardCharsets.ISO_8859_1));
  }

  @Property(seed = "12", tries = 2000)
  void readsTheSameHoweverTheStreamIsSplit(
      @ForAll("nearlyRequests") byte[] stream, @ForAll @Size(max = 20) List<Integer> cuts) {
    List<String> whole = outcome(stream, List.of(), 64);
    assertEquals(whole, outcome(stream, cuts, 64));
    List<Integer> everywhere = new ArrayList<>();
    for (int i = 0; i < stream.length; i++) {
      everywhere.add(i);
    }
    assertEquals(whole, outcome(stream, everywhere, 64));
  }

  @Property(seed = "13")
  void refusesHeadsAboveTheBoundAndNoOthers(
      @ForAll @IntRange(min = MAX_HEAD - 60, max = MAX_HEAD + 60) int size) {
    StringBuilder head = new StringBuilder("GET / HTTP/1.1\r\n");
    while (head.length() < size - 2) {
      int line = Math.min(1000, size - 2 - head.length());
      // A line takes its end and a colon too; a rest that is too short for that makes the line
      // before longer.
      head.append(line < 8 ? "" : "X:" + "y".repeat(line - 4) + "\r\n");
      if (line < 8) {
        head.insert(head.length() - 2, "y".repeat(line));
      }
    }
    head.append("\r\n");
    assertEquals(size, head.length());
    assertEquals(
        size <= MAX_HEAD ? "GET / 1 false" : "refused with 431",
        outcome(head.toString().getBytes(StandardCharsets.ISO_8859_1), List.of(), MAX_BODY).get(0));
  }

  @Property(generation = GenerationMode.EXHAUSTIVE)
  void refusesBodiesAboveTheBoundAndNoOthers(
      @ForAll boolean chunked, @ForAll @IntRange(min = -1, max = 1) int beyond) {
    int size = MAX_BODY + beyond;
    List<Integer> chunks = chunked ? List.of(size / 2, size - size / 2) : List.of(size);
    Sent sent = new Sent("POST", "/", chunks, chunked, false);
    String expected =
        size <= MAX_BODY ? "POST / " + Arrays.hashCode(sent.body()) + " false" : "refused with 413";
    assertEquals(expected, outcome(sent.bytes(), List.of(9, 99, 40_000), MAX_BODY).get(0));
  }
}
