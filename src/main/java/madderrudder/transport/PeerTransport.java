package madderrudder.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Length-prefixed frames between controllers, each over a connection that its sender opens. Nothing
 * here is relied on for safety: a frame that can't be sent is dropped.
 */
public final class PeerTransport implements PeerMessenger {
  private static final Logger LOG = LoggerFactory.getLogger(PeerTransport.class);
  private static final long RETRY_MICROS = 1_000_000;
  private static final long STUCK_MICROS = 3_000_000;
  private static final long ACCEPT_PAUSE_MICROS = 200_000;

  /**
   * A second of relayed reports of a thousand workers; what a peer has not taken by then is late
   * anyway.
   */
  private static final int MOST_QUEUED_BYTES = 1 << 20;

  private static final int MOST_INCOMING = 16;

  private final Scheduler scheduler;
  private final AsynchronousChannelGroup group;
  private final AsynchronousServerSocketChannel listener;
  private final int maxFrame;
  private final Consumer<ByteBuffer> receiver;
  private final Map<String, Link> links = new LinkedHashMap<>();
  private final Deque<Incoming> incoming = new ArrayDeque<>();

  public PeerTransport(
      Scheduler scheduler,
      AsynchronousChannelGroup group,
      InetSocketAddress listen,
      Map<String, String> peers,
      int maxFrame,
      Consumer<ByteBuffer> receiver)
      throws IOException {
    this.scheduler = scheduler;
    this.group = group;
    this.maxFrame = maxFrame;
    this.receiver = receiver;
    listener = AsynchronousServerSocketChannel.open(group);
    listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    listener.bind(listen, 16);
    peers.forEach((member, address) -> links.put(member, new Link(address)));
  }

  public void start() {
    accept();
  }

  @Override
  public void broadcast(ByteBuffer frame) {
    links.values().forEach(link -> link.send(frame.duplicate()));
  }

  @Override
  public void send(String member, ByteBuffer frame) {
    Link link = links.get(member);
    if (link != null) {
      link.send(frame);
    }
  }

  private void accept() {
    listener.accept(
        null,
        new CompletionHandler<AsynchronousSocketChannel, Void>() {
          @Override
          public void completed(AsynchronousSocketChannel channel, Void unused) {
            // A peer that comes back leaves its old connection half open: the oldest goes.
            if (incoming.size() >= MOST_INCOMING) {
              incoming.pollFirst().close();
            }
            Incoming connection = new Incoming(channel);
            incoming.addLast(connection);
            connection.read();
            accept();
          }

          @Override
          public void failed(Throwable cause, Void unused) {
            scheduler.after(ACCEPT_PAUSE_MICROS, PeerTransport.this::accept);
          }
        });
  }

  /** Frames coming in over one connection. */
  private final class Incoming {
    private final AsynchronousSocketChannel channel;
    private ByteBuffer in = ByteBuffer.allocate(1024);

    Incoming(AsynchronousSocketChannel channel) {
      this.channel = channel;
    }

    void read() {
      channel.read(
          in,
          null,
          new CompletionHandler<Integer, Void>() {
            @Override
            public void completed(Integer count, Void unused) {
              if (count < 0 || !takeFrames()) {
                close();
              } else {
                read();
              }
            }

            @Override
            public void failed(Throwable cause, Void unused) {
              close();
            }
          });
    }

    private boolean takeFrames() {
      in.flip();
      while (in.remaining() >= Integer.BYTES) {
        int length = in.getInt(in.position());
        if (length <= 0 || length > maxFrame) {
          LOG.info("mesh frame of bad length {}", length);
          return false;
        }
        if (in.remaining() < Integer.BYTES + length) {
          if (in.capacity() < Integer.BYTES + length) {
            in = ByteBuffer.allocate(Integer.BYTES + length).put(in);
            return true;
          }
          break;
        }
        in.getInt();
        receiver.accept(in.slice(in.position(), length));
        in.position(in.position() + length);
      }
      in.compact();
      return true;
    }

    void close() {
      incoming.remove(this);
      HttpServer.close(channel);
    }
  }

  /** The connection to one peer, opened when there is something to say. */
  private final class Link {
    private final String address;
    private final Deque<ByteBuffer> queue = new ArrayDeque<>();
    private int queuedBytes;
    private AsynchronousSocketChannel channel;
    private boolean connected;
    private boolean writing;
    private long busySinceMicros;
    private long notBeforeMicros;

    Link(String address) {
      this.address = address;
    }

    void send(ByteBuffer frame) {
      long now = scheduler.nowMicros();
      if (channel != null && (!connected || writing) && now - busySinceMicros > STUCK_MICROS) {
        drop();
      }
      queue.addLast(frame);
      queuedBytes += frame.remaining();
      while (queuedBytes > MOST_QUEUED_BYTES) {
        next();
      }
      if (channel == null) {
        if (now >= notBeforeMicros) {
          connect(now);
        } else {
          clear();
        }
      } else if (connected && !writing) {
        write();
      }
    }

    private void connect(long now) {
      notBeforeMicros = now + RETRY_MICROS;
      busySinceMicros = now;
      try {
        channel = AsynchronousSocketChannel.open(group);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      } catch (IOException e) {
        channel = null;
        return;
      }
      AsynchronousSocketChannel mine = channel;
      mine.connect(
          Addresses.parse(address),
          null,
          new CompletionHandler<Void, Void>() {
            @Override
            public void completed(Void nothing, Void unused) {
              if (channel == mine) {
                connected = true;
                write();
              }
            }

            @Override
            public void failed(Throwable cause, Void unused) {
              if (channel == mine) {
                drop();
              }
            }
          });
    }

    private void write() {
      ByteBuffer frame = next();
      if (frame == null) {
        return;
      }
      writing = true;
      busySinceMicros = scheduler.nowMicros();
      AsynchronousSocketChannel mine = channel;
      mine.write(
          frame,
          null,
          new CompletionHandler<Integer, Void>() {
            @Override
            public void completed(Integer count, Void unused) {
              if (channel != mine) {
                return;
              }
              if (frame.hasRemaining()) {
                mine.write(frame, null, this);
                return;
              }
              writing = false;
              write();
            }

            @Override
            public void failed(Throwable cause, Void unused) {
              if (channel == mine) {
                drop();
              }
            }
          });
    }

    private void drop() {
      HttpServer.close(channel);
      channel = null;
      connected = false;
      writing = false;
      clear();
    }

    private ByteBuffer next() {
      ByteBuffer frame = queue.pollFirst();
      queuedBytes -= frame == null ? 0 : frame.remaining();
      return frame;
    }

    private void clear() {
      queue.clear();
      queuedBytes = 0;
    }
  }
}
