package madderrudder.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sends messages to one peer, over a connection that is opened when there is something to send.
 * Messages that can't be sent are dropped. Confined to the event loop thread.
 */
final class OutgoingPeerConnection {
  private static final long RETRY_MICROS = 1_000_000;
  private static final long STUCK_MICROS = 3_000_000;

  /**
   * A second of forwarded heartbeats of a thousand workers; what a peer has not taken by then is
   * late anyway.
   */
  private static final int MAX_QUEUED_BYTES = 1 << 20;

  private final Scheduler scheduler;
  private final AsynchronousChannelGroup group;
  private final String address;
  private final Deque<ByteBuffer> queue = new ArrayDeque<>();
  private int queuedBytes;

  /** Null while there is no connection. */
  private SocketStream stream;

  private boolean connected;
  private boolean writing;

  /** When the connection attempt or the write under way began. */
  private long busySinceMicros;

  private long notBeforeMicros;

  OutgoingPeerConnection(Scheduler scheduler, AsynchronousChannelGroup group, String address) {
    this.scheduler = scheduler;
    this.group = group;
    this.address = address;
  }

  /** Sends the message, after those that wait already. */
  void send(ByteBuffer message) {
    long nowMicros = scheduler.nowMicros();
    if (stuck(nowMicros)) {
      disconnect();
    }
    enqueue(message);
    if (stream == null) {
      if (nowMicros >= notBeforeMicros) {
        connect(nowMicros);
      } else {
        clearQueue();
      }
    } else if (connected && !writing) {
      writeNext();
    }
  }

  private boolean stuck(long nowMicros) {
    return stream != null && (!connected || writing) && nowMicros - busySinceMicros > STUCK_MICROS;
  }

  private void connect(long nowMicros) {
    notBeforeMicros = nowMicros + RETRY_MICROS;
    busySinceMicros = nowMicros;
    try {
      stream = SocketStream.open(group, this::onFailure);
    } catch (IOException e) {
      stream = null;
      return;
    }
    SocketStream opened = stream;
    opened.connect(
        Addresses.parse(address),
        () -> {
          if (stream == opened) {
            connected = true;
            writeNext();
          }
        });
  }

  /** The failure of an older stream than the current one means nothing. */
  private void onFailure(SocketStream failed) {
    if (stream == failed) {
      disconnect();
    }
  }

  private void writeNext() {
    ByteBuffer message = dequeue();
    if (message == null) {
      return;
    }
    writing = true;
    busySinceMicros = scheduler.nowMicros();
    SocketStream current = stream;
    current.write(
        message,
        () -> {
          if (stream == current) {
            writing = false;
            writeNext();
          }
        });
  }

  private void disconnect() {
    stream.close();
    stream = null;
    connected = false;
    writing = false;
    clearQueue();
  }

  /** The oldest messages are dropped if too many wait. */
  private void enqueue(ByteBuffer message) {
    queue.addLast(message);
    queuedBytes += message.remaining();
    while (queuedBytes > MAX_QUEUED_BYTES) {
      dequeue();
    }
  }

  /** The oldest message; null if none waits. */
  private ByteBuffer dequeue() {
    ByteBuffer message = queue.pollFirst();
    queuedBytes -= message == null ? 0 : message.remaining();
    return message;
  }

  private void clearQueue() {
    queue.clear();
    queuedBytes = 0;
  }
}
