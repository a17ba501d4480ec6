import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy from one program to another, which can hold all bytes or reset all connections. */
final class Link {
  final int port;
  private final ServerSocket listener;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile int target;
  private volatile boolean held;

  Link(int targetPort) throws IOException {
    target = targetPort;
    listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    port = listener.getLocalPort();
    Web.daemon("link-" + port, this::accept);
  }

  /** While held, bytes are kept and delivered afterwards, and new connections wait. */
  void hold(boolean on) {
    synchronized (this) {
      held = on;
      notifyAll();
    }
  }

  void reset() {
    for (Socket socket : open) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
  }

  private void awaitOpen() throws InterruptedException {
    synchronized (this) {
      while (held) {
        wait();
      }
    }
  }

  private void accept() {
    while (true) {
      try {
        Socket client = listener.accept();
        open.add(client);
        Web.daemon("link-in-" + port, () -> connect(client));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket client) {
    try {
      awaitOpen();
      Socket server = new Socket();
      server.connect(new InetSocketAddress("127.0.0.1", target), 2000);
      open.add(server);
      client.setTcpNoDelay(true);
      server.setTcpNoDelay(true);
      Web.daemon("link-back-" + port, () -> pump(server, client));
      pump(client, server);
    } catch (IOException | InterruptedException e) {
      close(client);
    }
  }

  private void pump(Socket from, Socket to) {
    byte[] buffer = new byte[8192];
    try {
      InputStream in = from.getInputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        awaitOpen();
        to.getOutputStream().write(buffer, 0, count);
      }
      awaitOpen();
    } catch (IOException | InterruptedException e) {
      // One side has closed; the other is closed below.
    }
    close(from);
    close(to);
  }

  private void close(Socket socket) {
    open.remove(socket);
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }
}
