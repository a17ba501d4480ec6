import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over loopback: a server with a thread for each connection, and a blocking client. */
final class Web {
  private Web() {}

  record Request(String method, String path, String body) {}

  /** An answer; {@code dropped} closes the connection without one. */
  record Answer(int status, String body, boolean dropped) {
    static Answer of(int status, Object json) {
      return new Answer(status, json instanceof String s ? s : J.text(json), false);
    }

    static Answer drop() {
      return new Answer(0, "", true);
    }
  }

  interface Handler {
    Answer handle(Request request) throws Exception;
  }

  static final class Server implements Closeable {
    final int port;
    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    Server(Handler handler) throws IOException {
      this(0, handler);
    }

    Server(int atPort, Handler handler) throws IOException {
      this.handler = handler;
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress("127.0.0.1", atPort), 256);
      port = listener.getLocalPort();
      daemon("accept-" + port, this::accept);
    }

    String address() {
      return "127.0.0.1:" + port;
    }

    private void accept() {
      while (!closed) {
        try {
          Socket socket = listener.accept();
          open.add(socket);
          daemon("serve-" + port, () -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (!closed) {
          Message message = read(in);
          if (message == null) {
            return;
          }
          String[] start = message.start.split(" ");
          Answer answer = handler.handle(new Request(start[0], start[1], message.body));
          if (answer == null || answer.dropped()) {
            return;
          }
          byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
          String head =
              "HTTP/1.1 " + answer.status() + " x\r\nContent-Length: " + body.length + "\r\n\r\n";
          ByteArrayOutputStream out = new ByteArrayOutputStream();
          out.write(head.getBytes(StandardCharsets.ISO_8859_1));
          out.write(body);
          socket.getOutputStream().write(out.toByteArray());
        }
      } catch (Exception e) {
        // The client has gone, or the request was no HTTP.
      } finally {
        open.remove(socket);
      }
    }

    /** Closes all connections, and accepts none any more. */
    @Override
    public void close() {
      closed = true;
      try {
        listener.close();
        for (Socket socket : open) {
          socket.close();
        }
      } catch (IOException e) {
        // Closing is all that was wanted.
      }
    }
  }

  /** Keeps one connection to each address. Not thread-safe. */
  static final class Client {
    private final Map<String, Socket> kept = new HashMap<>();

    /** Returns the answer; status 0 if there was none in time, -1 if the connection failed. */
    Answer call(String address, String method, String path, String body, long timeoutMillis) {
      Socket socket = kept.remove(address);
      boolean reused = socket != null;
      long endNanos = System.nanoTime() + timeoutMillis * 1_000_000;
      try {
        if (socket == null) {
          socket = connect(address, timeoutMillis);
        }
        return exchange(socket, address, method, path, body, endNanos);
      } catch (SocketTimeoutException e) {
        close(socket);
        return new Answer(0, "", true);
      } catch (IOException e) {
        close(socket);
        if (reused && System.nanoTime() < endNanos) {
          return call(address, method, path, body, (endNanos - System.nanoTime()) / 1_000_000 + 1);
        }
        return new Answer(-1, "", true);
      }
    }

    private Answer exchange(
        Socket socket, String address, String method, String path, String body, long endNanos)
        throws IOException {
      byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
      String head =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: "
              + address
              + "\r\n"
              + (body == null ? "" : "Content-Length: " + bytes.length + "\r\n")
              + "\r\n";
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      out.write(bytes);
      socket.getOutputStream().write(out.toByteArray());
      InputStream raw = socket.getInputStream();
      InputStream timed =
          new InputStream() {
            @Override
            public int read() throws IOException {
              byte[] one = new byte[1];
              return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
            }

            @Override
            public int read(byte[] into, int from, int length) throws IOException {
              long left = (endNanos - System.nanoTime()) / 1_000_000;
              if (left <= 0) {
                throw new SocketTimeoutException();
              }
              socket.setSoTimeout((int) left);
              return raw.read(into, from, length);
            }
          };
      Message message = Web.read(new BufferedInputStream(timed));
      if (message == null) {
        throw new IOException("closed");
      }
      if (message.close) {
        close(socket);
      } else {
        kept.put(address, socket);
      }
      return new Answer(Integer.parseInt(message.start.split(" ")[1]), message.body, false);
    }

    void closeAll() {
      kept.values().forEach(Client::close);
      kept.clear();
    }

    private static Socket connect(String address, long timeoutMillis) throws IOException {
      int colon = address.indexOf(':');
      Socket socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          (int) Math.max(1, timeoutMillis));
      return socket;
    }

    private static void close(Socket socket) {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // Closing is all that was wanted.
      }
    }
  }

  private record Message(String start, String body, boolean close) {}

  private static Message read(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    int length = 0;
    boolean close = false;
    for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
      String lower = header.toLowerCase();
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(header.substring(15).trim());
      }
      close |= lower.startsWith("connection:") && lower.contains("close");
    }
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new IOException("closed in the body");
    }
    return new Message(start, new String(body, StandardCharsets.UTF_8), close);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        return out.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
      }
      out.write(b);
    }
    return null;
  }

  static Thread daemon(String name, Runnable body) {
    Thread thread = new Thread(body, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
