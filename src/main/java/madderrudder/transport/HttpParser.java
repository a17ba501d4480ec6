package madderrudder.transport;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads HTTP/1.1 messages, one after another, from bytes that may be split anywhere. Head, body and
 * every line are bounded, so a peer that sends without end costs a fixed amount of memory.
 */
final class HttpParser {
  private static final int MAX_HEAD_BYTES = 16 * 1024;
  private static final int MAX_LINE_BYTES = 8 * 1024;
  private static final int INITIAL_BODY_BYTES = 4096;

  /** Longer lengths, in digits, are too large whatever the digits are. */
  private static final int MAX_LENGTH_DIGITS = 9;

  /** What the parser expects next. */
  private enum State {
    START_LINE,
    HEADERS,
    BODY,
    CHUNK_SIZE,
    CHUNK_DATA,
    CHUNK_END,
    TRAILERS,
    COMPLETE
  }

  private final boolean responses;
  private final int maxBodyBytes;
  private State state = State.START_LINE;

  // The line that is being read, and the size of the head or the chunk lines so far.
  private byte[] line = new byte[128];
  private int lineLength;
  private int headBytes;

  // The start line: method and target of a request, or the status of a response.
  private String method;
  private String target;
  private String status;
  private boolean http10;

  // The headers.
  private boolean close;
  private boolean keepAlive;
  private boolean chunked;
  private boolean lengthKnown;
  private int retryAfterS;

  // The body; what remains is of the body or of a chunk.
  private byte[] body = new byte[0];
  private int bodyLength;
  private int remaining;

  private HttpParser(boolean responses, int maxBodyBytes) {
    this.responses = responses;
    this.maxBodyBytes = maxBodyBytes;
  }

  /** A parser of requests with bodies up to the given size. */
  static HttpParser forRequests(int maxBodyBytes) {
    return new HttpParser(false, maxBodyBytes);
  }

  /** A parser of responses with bodies up to the given size. */
  static HttpParser forResponses(int maxBodyBytes) {
    return new HttpParser(true, maxBodyBytes);
  }

  /** Whether anything of a message has been read and the message is not complete. */
  boolean midMessage() {
    return state != State.COMPLETE && (state != State.START_LINE || lineLength > 0);
  }

  /**
   * Takes bytes until a message is complete or the buffer is empty.
   *
   * @return whether a message is complete
   * @throws HttpParseException if the message can't be read; the parser is of no use afterwards
   */
  boolean feed(ByteBuffer in) throws HttpParseException {
    if (state == State.COMPLETE) {
      reset();
    }
    while (state != State.COMPLETE) {
      boolean progress = expectsBytes() ? takeBody(in) : takeLine(in);
      if (!progress) {
        return false;
      }
    }
    return true;
  }

  private boolean expectsBytes() {
    return state == State.BODY || state == State.CHUNK_DATA;
  }

  /** The request that is complete. */
  HttpRequest request() {
    return new HttpRequest(method, target, Arrays.copyOf(body, bodyLength), endsConnection());
  }

  /** The response that is complete. */
  HttpResponse response() {
    return new HttpResponse(
        Integer.parseInt(status), Arrays.copyOf(body, bodyLength), retryAfterS, endsConnection());
  }

  private boolean endsConnection() {
    return close || (http10 && !keepAlive);
  }

  private void reset() {
    state = State.START_LINE;
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

  /** Takes the rest of a line and parses it; false if its end has not arrived. */
  private boolean takeLine(ByteBuffer in) throws HttpParseException {
    while (in.hasRemaining()) {
      byte next = in.get();
      checkHeadSize();
      if (next == '\n') {
        parseLine(endOfLine());
        return true;
      }
      appendToLine(next);
    }
    return false;
  }

  private void checkHeadSize() throws HttpParseException {
    headBytes++;
    if (headBytes > MAX_HEAD_BYTES && inHead()) {
      throw new HttpParseException(431, "head too large");
    }
  }

  private boolean inHead() {
    return state == State.START_LINE || state == State.HEADERS || state == State.TRAILERS;
  }

  private void appendToLine(byte next) throws HttpParseException {
    if (lineLength == MAX_LINE_BYTES) {
      throw new HttpParseException(431, "line too long");
    }
    if (lineLength == line.length) {
      line = Arrays.copyOf(line, line.length * 2);
    }
    line[lineLength++] = next;
  }

  private String endOfLine() {
    if (lineLength > 0 && line[lineLength - 1] == '\r') {
      lineLength--;
    }
    String text = new String(line, 0, lineLength, StandardCharsets.ISO_8859_1);
    lineLength = 0;
    return text;
  }

  /** Takes bytes of the body or of a chunk; false if the last has not arrived. */
  private boolean takeBody(ByteBuffer in) {
    int count = Math.min(remaining, in.remaining());
    if (bodyLength + count > body.length) {
      int doubled = Math.min(maxBodyBytes, body.length * 2);
      body = Arrays.copyOf(body, Math.max(bodyLength + count, doubled));
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

  private void parseLine(String text) throws HttpParseException {
    switch (state) {
      case START_LINE -> parseStartLine(text);
      case HEADERS -> parseHeaderLine(text);
      case CHUNK_SIZE -> parseChunkSize(text);
      case CHUNK_END -> parseChunkEnd(text);
      case TRAILERS -> parseTrailer(text);
      default -> throw new IllegalStateException("no line expected in " + state);
    }
  }

  /** Empty lines before a message are skipped. */
  private void parseStartLine(String text) throws HttpParseException {
    if (text.isEmpty()) {
      return;
    }
    String version = responses ? parseStatusLine(text) : parseRequestLine(text);
    if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
      throw new HttpParseException(505, "not HTTP/1.1");
    }
    http10 = version.equals("HTTP/1.0");
    state = State.HEADERS;
  }

  /** Returns the version. */
  private String parseStatusLine(String text) throws HttpParseException {
    int versionEnd = text.indexOf(' ');
    if (versionEnd < 0) {
      throw new HttpParseException(400, "bad status line");
    }
    int statusEnd = text.indexOf(' ', versionEnd + 1);
    status =
        statusEnd < 0 ? text.substring(versionEnd + 1) : text.substring(versionEnd + 1, statusEnd);
    if (status.length() != 3 || !status.chars().allMatch(c -> c >= '0' && c <= '9')) {
      throw new HttpParseException(400, "bad status line");
    }
    return text.substring(0, versionEnd);
  }

  /** Returns the version. */
  private String parseRequestLine(String text) throws HttpParseException {
    int methodEnd = text.indexOf(' ');
    int targetEnd = methodEnd < 0 ? -1 : text.indexOf(' ', methodEnd + 1);
    if (methodEnd <= 0 || targetEnd < 0 || text.indexOf(' ', targetEnd + 1) >= 0) {
      throw new HttpParseException(400, "bad request line");
    }
    method = text.substring(0, methodEnd);
    target = text.substring(methodEnd + 1, targetEnd);
    if (!target.startsWith("/")) {
      throw new HttpParseException(400, "bad request target");
    }
    return text.substring(targetEnd + 1);
  }

  private void parseHeaderLine(String text) throws HttpParseException {
    if (text.isEmpty()) {
      endHead();
      return;
    }
    int colon = text.indexOf(':');
    if (colon <= 0 || text.charAt(colon - 1) == ' ') {
      throw new HttpParseException(400, "bad header");
    }
    takeHeader(text.substring(0, colon), text.substring(colon + 1).trim());
  }

  private void takeHeader(String name, String value) throws HttpParseException {
    if (name.equalsIgnoreCase("Content-Length")) {
      takeContentLength(parseLength(value, 10));
    } else if (name.equalsIgnoreCase("Transfer-Encoding")) {
      if (!value.equalsIgnoreCase("chunked")) {
        throw new HttpParseException(501, "unknown transfer encoding");
      }
      chunked = true;
    } else if (name.equalsIgnoreCase("Connection")) {
      close |= value.equalsIgnoreCase("close");
      keepAlive |= value.equalsIgnoreCase("keep-alive");
    } else if (name.equalsIgnoreCase("Retry-After") && value.matches("[0-9]{1,4}")) {
      retryAfterS = Integer.parseInt(value);
    }
  }

  private void takeContentLength(int length) throws HttpParseException {
    if (lengthKnown && length != remaining) {
      throw new HttpParseException(400, "two lengths");
    }
    lengthKnown = true;
    remaining = length;
  }

  private void endHead() throws HttpParseException {
    if (chunked) {
      if (lengthKnown) {
        throw new HttpParseException(400, "length and chunks");
      }
      state = State.CHUNK_SIZE;
      return;
    }
    if (remaining > maxBodyBytes) {
      throw new HttpParseException(413, "body too large");
    }
    state = remaining == 0 ? State.COMPLETE : State.BODY;
    body = new byte[Math.min(remaining, INITIAL_BODY_BYTES)];
  }

  /** A size in hexadecimal digits; an extension behind a semicolon is ignored. */
  private void parseChunkSize(String text) throws HttpParseException {
    int end = text.indexOf(';');
    String digits = end < 0 ? text : text.substring(0, end);
    remaining = parseLength(digits.trim(), 16);
    if (remaining > maxBodyBytes - bodyLength) {
      throw new HttpParseException(413, "body too large");
    }
    if (remaining == 0) {
      headBytes = 0;
      state = State.TRAILERS;
    } else {
      state = State.CHUNK_DATA;
    }
  }

  private void parseChunkEnd(String text) throws HttpParseException {
    if (!text.isEmpty()) {
      throw new HttpParseException(400, "chunk without end");
    }
    state = State.CHUNK_SIZE;
  }

  /** Trailers are ignored. */
  private void parseTrailer(String text) {
    if (text.isEmpty()) {
      state = State.COMPLETE;
    }
  }

  private static int parseLength(String digits, int radix) throws HttpParseException {
    if (digits.isEmpty() || digits.charAt(0) == '-' || digits.charAt(0) == '+') {
      throw new HttpParseException(400, "bad length");
    }
    if (digits.length() > MAX_LENGTH_DIGITS) {
      throw new HttpParseException(413, "body too large");
    }
    try {
      return (int) Math.min(Integer.MAX_VALUE, Long.parseLong(digits, radix));
    } catch (NumberFormatException e) {
      throw new HttpParseException(400, "bad length");
    }
  }
}
