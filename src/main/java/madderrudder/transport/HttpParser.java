package madderrudder.transport;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads HTTP/1.1 messages from bytes that may be split anywhere. Head, body and every line are
 * bounded, so a peer that sends without end costs a fixed amount of memory.
 */
public final class HttpParser {
  private static final int MAX_HEAD = 16 * 1024;
  private static final int MAX_LINE = 8 * 1024;

  /** A message that can't be read; {@code status} is the answer it deserves. */
  public static final class Malformed extends Exception {
    private final int status;

    Malformed(int status, String message) {
      super(message);
      this.status = status;
    }

    public int status() {
      return status;
    }
  }

  private enum State {
    START,
    HEADERS,
    BODY,
    CHUNK_SIZE,
    CHUNK_DATA,
    CHUNK_END,
    TRAILERS,
    COMPLETE
  }

  private final boolean responses;
  private final int maxBody;
  private byte[] line = new byte[128];
  private int lineLength;
  private int headBytes;
  private State state = State.START;
  private String first;
  private String second;
  private boolean oldVersion;
  private boolean close;
  private boolean keepAlive;
  private boolean chunked;
  private boolean lengthKnown;
  private int remaining;
  private int retryAfterS;
  private byte[] body = new byte[0];
  private int bodyLength;

  private HttpParser(boolean responses, int maxBody) {
    this.responses = responses;
    this.maxBody = maxBody;
  }

  public static HttpParser forRequests(int maxBody) {
    return new HttpParser(false, maxBody);
  }

  public static HttpParser forResponses(int maxBody) {
    return new HttpParser(true, maxBody);
  }

  /** True once anything of a message has been read and the message is not complete. */
  public boolean midMessage() {
    return state != State.COMPLETE && (state != State.START || lineLength > 0);
  }

  /** Takes bytes until a message is complete or the buffer is empty; true if one is complete. */
  public boolean feed(ByteBuffer in) throws Malformed {
    if (state == State.COMPLETE) {
      reset();
    }
    while (state != State.COMPLETE) {
      if (state == State.BODY || state == State.CHUNK_DATA) {
        if (!takeBody(in)) {
          return false;
        }
      } else {
        if (!takeLine(in)) {
          return false;
        }
        String text = new String(line, 0, lineLength, StandardCharsets.ISO_8859_1);
        lineLength = 0;
        onLine(text);
      }
    }
    return true;
  }

  public HttpRequest request() {
    return new HttpRequest(first, second, Arrays.copyOf(body, bodyLength), ends());
  }

  public HttpResponse response() {
    return new HttpResponse(
        Integer.parseInt(second), Arrays.copyOf(body, bodyLength), retryAfterS, ends());
  }

  private boolean ends() {
    return close || (oldVersion && !keepAlive);
  }

  private void reset() {
    state = State.START;
    headBytes = 0;
    close = false;
    keepAlive = false;
    chunked = false;
    lengthKnown = false;
    remaining = 0;
    retryAfterS = 0;
    body = new byte[0];
    bodyLength = 0;
  }

  private boolean takeLine(ByteBuffer in) throws Malformed {
    while (in.hasRemaining()) {
      byte b = in.get();
      if (++headBytes > MAX_HEAD
          && (state == State.START || state == State.HEADERS || state == State.TRAILERS)) {
        throw new Malformed(431, "head too large");
      }
      if (b == '\n') {
        if (lineLength > 0 && line[lineLength - 1] == '\r') {
          lineLength--;
        }
        return true;
      }
      if (lineLength == MAX_LINE) {
        throw new Malformed(431, "line too long");
      }
      if (lineLength == line.length) {
        line = Arrays.copyOf(line, line.length * 2);
      }
      line[lineLength++] = b;
    }
    return false;
  }

  private boolean takeBody(ByteBuffer in) {
    int count = Math.min(remaining, in.remaining());
    if (bodyLength + count > body.length) {
      body = Arrays.copyOf(body, Math.max(bodyLength + count, Math.min(maxBody, body.length * 2)));
    }
    in.get(body, bodyLength, count);
    bodyLength += count;
    remaining -= count;
    if (remaining > 0) {
      return false;
    }
    state = chunked ? State.CHUNK_END : State.COMPLETE;
    return true;
  }

  private void onLine(String text) throws Malformed {
    switch (state) {
      case START -> {
        if (!text.isEmpty()) {
          startLine(text);
          state = State.HEADERS;
        }
      }
      case HEADERS -> {
        if (text.isEmpty()) {
          endOfHead();
        } else {
          header(text);
        }
      }
      case CHUNK_SIZE -> chunkSize(text);
      case CHUNK_END -> {
        if (!text.isEmpty()) {
          throw new Malformed(400, "chunk without end");
        }
        state = State.CHUNK_SIZE;
      }
      case TRAILERS -> {
        if (text.isEmpty()) {
          state = State.COMPLETE;
        }
      }
      default -> throw new IllegalStateException("no line expected in " + state);
    }
  }

  private void startLine(String text) throws Malformed {
    int one = text.indexOf(' ');
    int two = one < 0 ? -1 : text.indexOf(' ', one + 1);
    String version;
    if (responses) {
      if (one < 0) {
        throw new Malformed(400, "bad status line");
      }
      version = text.substring(0, one);
      first = version;
      second = two < 0 ? text.substring(one + 1) : text.substring(one + 1, two);
      if (second.length() != 3 || !second.chars().allMatch(c -> c >= '0' && c <= '9')) {
        throw new Malformed(400, "bad status line");
      }
    } else {
      if (one <= 0 || two < 0 || text.indexOf(' ', two + 1) >= 0) {
        throw new Malformed(400, "bad request line");
      }
      first = text.substring(0, one);
      second = text.substring(one + 1, two);
      version = text.substring(two + 1);
      if (!second.startsWith("/")) {
        throw new Malformed(400, "bad request target");
      }
    }
    if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
      throw new Malformed(505, "not HTTP/1.1");
    }
    oldVersion = version.equals("HTTP/1.0");
  }

  private void header(String text) throws Malformed {
    int colon = text.indexOf(':');
    if (colon <= 0 || text.charAt(colon - 1) == ' ') {
      throw new Malformed(400, "bad header");
    }
    String name = text.substring(0, colon);
    String value = text.substring(colon + 1).trim();
    if (name.equalsIgnoreCase("Content-Length")) {
      int length = smallNumber(value, 10);
      if (lengthKnown && length != remaining) {
        throw new Malformed(400, "two lengths");
      }
      lengthKnown = true;
      remaining = length;
    } else if (name.equalsIgnoreCase("Transfer-Encoding")) {
      if (!value.equalsIgnoreCase("chunked")) {
        throw new Malformed(501, "unknown transfer encoding");
      }
      chunked = true;
    } else if (name.equalsIgnoreCase("Connection")) {
      close |= value.equalsIgnoreCase("close");
      keepAlive |= value.equalsIgnoreCase("keep-alive");
    } else if (name.equalsIgnoreCase("Retry-After") && value.matches("[0-9]{1,4}")) {
      retryAfterS = Integer.parseInt(value);
    }
  }

  private void endOfHead() throws Malformed {
    if (chunked) {
      if (lengthKnown) {
        throw new Malformed(400, "length and chunks");
      }
      state = State.CHUNK_SIZE;
      return;
    }
    if (remaining > maxBody) {
      throw new Malformed(413, "body too large");
    }
    state = remaining == 0 ? State.COMPLETE : State.BODY;
    body = new byte[Math.min(remaining, 4096)];
  }

  private void chunkSize(String text) throws Malformed {
    int end = text.indexOf(';');
    remaining = smallNumber((end < 0 ? text : text.substring(0, end)).trim(), 16);
    if (remaining > maxBody - bodyLength) {
      throw new Malformed(413, "body too large");
    }
    if (remaining == 0) {
      headBytes = 0;
      state = State.TRAILERS;
    } else {
      state = State.CHUNK_DATA;
    }
  }

  private static int smallNumber(String digits, int radix) throws Malformed {
    if (digits.isEmpty() || digits.charAt(0) == '-' || digits.charAt(0) == '+') {
      throw new Malformed(400, "bad length");
    }
    if (digits.length() > 9) {
      throw new Malformed(413, "body too large");
    }
    try {
      return (int) Math.min(Integer.MAX_VALUE, Long.parseLong(digits, radix));
    } catch (NumberFormatException e) {
      throw new Malformed(400, "bad length");
    }
  }
}
