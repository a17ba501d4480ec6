package madderrudder.transport;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Incremental parser of HTTP/1.1 messages, which accepts a byte stream split at any position. The
 * head, the body and each line have size limits, so the memory for a peer that never ends a message
 * is bounded.
 */
final class HttpParser {
  private static final int MAX_HEAD_BYTES = 16 * 1024;
  private static final int MAX_LINE_BYTES = 8 * 1024;
  private static final int INITIAL_BODY_BYTES = 4096;

  /** A length with more digits is rejected as too large, whatever the digits are. */
  private static final int MAX_LENGTH_DIGITS = 9;

  /** The part of a message that the parser expects next. */
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

  private final boolean parsesResponses;
  private final int maxBodyBytes;
  private State state = State.START_LINE;

  // The current line, and the bytes of the head, chunk and trailer lines so far.
  private byte[] lineBuffer = new byte[128];
  private int lineLength;
  private int headBytes;

  // Start line: method and target of a request, or status of a response.
  private String method;
  private String target;
  private String status;
  private boolean isHttp10;

  // Headers.
  private boolean closeRequested;
  private boolean keepAliveRequested;
  private boolean chunked;
  private boolean hasContentLength;
  private int retryAfterS;

  // Body. While a body or chunk is read, remainingBytes counts its bytes still to come.
  private byte[] body = new byte[0];
  private int bodyLength;
  private int remainingBytes;

  private HttpParser(boolean parsesResponses, int maxBodyBytes) {
    this.parsesResponses = parsesResponses;
    this.maxBodyBytes = maxBodyBytes;
  }

  /** Creates a parser of requests with bodies up to the given size. */
  static HttpParser forRequests(int maxBodyBytes) {
    return new HttpParser(false, maxBodyBytes);
  }

  /** Creates a parser of responses with bodies up to the given size. */
  static HttpParser forResponses(int maxBodyBytes) {
    return new HttpParser(true, maxBodyBytes);
  }

  /** Returns whether a message has been read in part, but not completely. */
  boolean isMidMessage() {
    return state != State.COMPLETE && (state != State.START_LINE || lineLength > 0);
  }

  /**
   * Consumes bytes until a message is complete or the buffer is empty. The call after a complete
   * message starts the next one.
   *
   * @return whether a message is complete
   * @throws HttpParseException if the message is malformed or exceeds a limit; the parser must not
   *     be used afterwards
   */
  boolean feed(ByteBuffer in) throws HttpParseException {
    if (state == State.COMPLETE) {
      reset();
    }
    while (state != State.COMPLETE) {
      boolean stateCompleted = expectsBodyBytes() ? readBody(in) : readLine(in);
      if (!stateCompleted) {
        return false;
      }
    }
    return true;
  }

  private boolean expectsBodyBytes() {
    return state == State.BODY || state == State.CHUNK_DATA;
  }

  /** Returns the complete request; valid only after {@link #feed} has returned true. */
  HttpRequest request() {
    return new HttpRequest(method, target, Arrays.copyOf(body, bodyLength), closesConnection());
  }

  /** Returns the complete response; valid only after {@link #feed} has returned true. */
  HttpResponse response() {
    return new HttpResponse(
        Integer.parseInt(status), Arrays.copyOf(body, bodyLength), retryAfterS, closesConnection());
  }

  private boolean closesConnection() {
    return closeRequested || (isHttp10 && !keepAliveRequested);
  }

  private void reset() {
    state = State.START_LINE;
    headBytes = 0;
    closeRequested = false;
    keepAliveRequested = false;
    chunked = false;
    hasContentLength = false;
    remainingBytes = 0;
    retryAfterS = 0;
    body = new byte[0];
    bodyLength = 0;
  }

  /** Reads the rest of a line and parses it. Returns false if the end of the line is missing. */
  private boolean readLine(ByteBuffer in) throws HttpParseException {
    while (in.hasRemaining()) {
      byte next = in.get();
      countHeadByte();
      if (next == '\n') {
        parseLine(finishLine());
        return true;
      }
      appendToLine(next);
    }
    return false;
  }

  private void countHeadByte() throws HttpParseException {
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
    if (lineLength == lineBuffer.length) {
      lineBuffer = Arrays.copyOf(lineBuffer, lineBuffer.length * 2);
    }
    lineBuffer[lineLength++] = next;
  }

  private String finishLine() {
    if (lineLength > 0 && lineBuffer[lineLength - 1] == '\r') {
      lineLength--;
    }
    String text = new String(lineBuffer, 0, lineLength, StandardCharsets.ISO_8859_1);
    lineLength = 0;
    return text;
  }

  /** Reads bytes of the body or of a chunk. Returns false if more bytes are missing. */
  private boolean readBody(ByteBuffer in) {
    int count = Math.min(remainingBytes, in.remaining());
    if (bodyLength + count > body.length) {
      int doubled = Math.min(maxBodyBytes, body.length * 2);
      body = Arrays.copyOf(body, Math.max(bodyLength + count, doubled));
    }
    in.get(body, bodyLength, count);
    bodyLength += count;
    remainingBytes -= count;
    if (remainingBytes > 0) {
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

  /** Parses the start line of a message, and skips empty lines before it. */
  private void parseStartLine(String text) throws HttpParseException {
    if (text.isEmpty()) {
      return;
    }
    String version = parsesResponses ? parseStatusLine(text) : parseRequestLine(text);
    if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
      throw new HttpParseException(505, "not HTTP/1.1");
    }
    isHttp10 = version.equals("HTTP/1.0");
    state = State.HEADERS;
  }

  /** Parses the status line and returns the HTTP version. */
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

  /** Parses the request line and returns the HTTP version. */
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
      finishHead();
      return;
    }
    int colon = text.indexOf(':');
    if (colon <= 0 || text.charAt(colon - 1) == ' ') {
      throw new HttpParseException(400, "bad header");
    }
    applyHeader(text.substring(0, colon), text.substring(colon + 1).trim());
  }

  private void applyHeader(String name, String value) throws HttpParseException {
    if (name.equalsIgnoreCase("Content-Length")) {
      applyContentLength(parseLength(value, 10));
    } else if (name.equalsIgnoreCase("Transfer-Encoding")) {
      if (!value.equalsIgnoreCase("chunked")) {
        throw new HttpParseException(501, "unknown transfer encoding");
      }
      chunked = true;
    } else if (name.equalsIgnoreCase("Connection")) {
      closeRequested |= value.equalsIgnoreCase("close");
      keepAliveRequested |= value.equalsIgnoreCase("keep-alive");
    } else if (name.equalsIgnoreCase("Retry-After") && value.matches("[0-9]{1,4}")) {
      retryAfterS = Integer.parseInt(value);
    }
  }

  private void applyContentLength(int length) throws HttpParseException {
    if (hasContentLength && length != remainingBytes) {
      throw new HttpParseException(400, "two lengths");
    }
    hasContentLength = true;
    remainingBytes = length;
  }

  private void finishHead() throws HttpParseException {
    if (chunked) {
      if (hasContentLength) {
        throw new HttpParseException(400, "length and chunks");
      }
      state = State.CHUNK_SIZE;
      return;
    }
    if (remainingBytes > maxBodyBytes) {
      throw new HttpParseException(413, "body too large");
    }
    state = remainingBytes == 0 ? State.COMPLETE : State.BODY;
    body = new byte[Math.min(remainingBytes, INITIAL_BODY_BYTES)];
  }

  /** Parses the hexadecimal size of a chunk, and ignores extensions after a semicolon. */
  private void parseChunkSize(String text) throws HttpParseException {
    int semicolon = text.indexOf(';');
    String digits = semicolon < 0 ? text : text.substring(0, semicolon);
    remainingBytes = parseLength(digits.trim(), 16);
    if (remainingBytes > maxBodyBytes - bodyLength) {
      throw new HttpParseException(413, "body too large");
    }
    if (remainingBytes == 0) {
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

  /** Ignores trailers; an empty line ends the message. */
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
