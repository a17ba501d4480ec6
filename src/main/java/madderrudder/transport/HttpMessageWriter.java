package madderrudder.transport;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Encodes HTTP messages. Head and body share one buffer, so that a message takes a single write.
 */
final class HttpMessageWriter {
  private HttpMessageWriter() {}

  /** Returns the encoded request, with the server address in the {@code Host} header. */
  static ByteBuffer encodeRequest(String address, HttpRequest request) {
    StringBuilder head = new StringBuilder(128);
    head.append(request.method())
        .append(' ')
        .append(request.target())
        .append(" HTTP/1.1\r\nHost: ")
        .append(address)
        .append("\r\n");
    return encode(head, request.body(), !request.method().equals("GET"));
  }

  /** Returns the encoded response; {@code close} adds the {@code Connection: close} header. */
  static ByteBuffer encodeResponse(HttpResponse response, boolean close) {
    StringBuilder head = new StringBuilder(128);
    head.append("HTTP/1.1 ")
        .append(response.status())
        .append(' ')
        .append(reasonPhrase(response.status()))
        .append("\r\n");
    if (response.retryAfterS() > 0) {
      head.append("Retry-After: ").append(response.retryAfterS()).append("\r\n");
    }
    if (close) {
      head.append("Connection: close\r\n");
    }
    return encode(head, response.body(), true);
  }

  private static ByteBuffer encode(StringBuilder head, byte[] body, boolean withContentLength) {
    if (body.length > 0) {
      head.append("Content-Type: application/json\r\n");
    }
    if (withContentLength) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    byte[] headBytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    return ByteBuffer.allocate(headBytes.length + body.length).put(headBytes).put(body).flip();
  }

  private static String reasonPhrase(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 201 -> "Created";
      case 400 -> "Bad Request";
      case 404 -> "Not Found";
      case 405 -> "Method Not Allowed";
      case 413 -> "Content Too Large";
      case 421 -> "Misdirected Request";
      case 422 -> "Unprocessable Content";
      case 429 -> "Too Many Requests";
      case 431 -> "Request Header Fields Too Large";
      case 501 -> "Not Implemented";
      case 503 -> "Service Unavailable";
      case 505 -> "HTTP Version Not Supported";
      default -> "Status";
    };
  }
}
