package madderrudder.transport;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Writes HTTP messages, head and body into one buffer so that a message costs one write. */
final class HttpMessageWriter {
  private HttpMessageWriter() {}

  /** The request, with the address as its host. */
  static ByteBuffer request(String address, HttpRequest request) {
    StringBuilder head = new StringBuilder(128);
    head.append(request.method())
        .append(' ')
        .append(request.target())
        .append(" HTTP/1.1\r\nHost: ")
        .append(address)
        .append("\r\n");
    return join(head, request.body(), !request.method().equals("GET"));
  }

  /** The response; {@code close} tells the client that the connection ends after it. */
  static ByteBuffer response(HttpResponse response, boolean close) {
    StringBuilder head = new StringBuilder(128);
    head.append("HTTP/1.1 ")
        .append(response.status())
        .append(' ')
        .append(reason(response.status()))
        .append("\r\n");
    if (response.retryAfterS() > 0) {
      head.append("Retry-After: ").append(response.retryAfterS()).append("\r\n");
    }
    if (close) {
      head.append("Connection: close\r\n");
    }
    return join(head, response.body(), true);
  }

  private static ByteBuffer join(StringBuilder head, byte[] body, boolean withLength) {
    if (body.length > 0) {
      head.append("Content-Type: application/json\r\n");
    }
    if (withLength) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    byte[] text = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    return ByteBuffer.allocate(text.length + body.length).put(text).put(body).flip();
  }

  private static String reason(int status) {
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
