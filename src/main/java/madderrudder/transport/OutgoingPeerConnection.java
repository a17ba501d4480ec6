package madderrudder.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sends messages to one peer over a connection that is opened when there is a message to send, also
 * after a failure. Messages that can't be sent are dropped. Confined to the event loop thread.
 */
final class OutgoingPeerConnection {
  /** Minimum time between the starts of two connection attempts. */
  private static final long MIN_RECONNECT_INTERVAL_MICROS = 1_000_000;

  /** Limit on a connection attempt, and on the write of one message. */
  private static final long STALL_TIMEOUT_MICROS = 3_000_000;

  /**
   * Holds one second of forwarded heartbeats of 1000 workers; a message that waits longer is stale
   * when the peer receives it.
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

  /** Start time of the current connection attempt or write. */
  private long operationStartMicros;

  /** Earliest time of the next connection attempt. */
  private long nextConnectMicros;

  /** Creates a sender without a connection. */
  OutgoingPeerConnection(Scheduler scheduler, AsynchronousChannelGroup group, String address) {
    this.scheduler = scheduler;
    this.group = group;
    this.address = address;
  }

  /**
   * Sends the message after those that are already queued. While a new connection attempt is not
   * yet allowed, the message is dropped.
   */
  void send(ByteBuffer message) {
    long nowMicros = scheduler.nowMicros();
    if (isStalled(nowMicros)) {
      disconnect();
    }
    enqueue(message);
    if (stream == null) {
      if (nowMicros >= nextConnectMicros) {
        connect(nowMicros);
      } else {
        clearQueue();
      }
    } else if (connected && !writing) {
      writeNext();
    }
  }

  private boolean isStalled(long nowMicros) {
    return stream != null
        && (!connected || writing)
        && nowMicros - operationStartMicros > STALL_TIMEOUT_MICROS;
  }

  private void connect(long nowMicros) {
    nextConnectMicros = nowMicros + MIN_RECONNECT_INTERVAL_MICROS;
    operationStartMicros = nowMicros;
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

  /** Closes the connection, unless the failed stream has already been replaced. */
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
    operationStartMicros = scheduler.nowMicros();
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

  /** Queues the message, and drops the oldest ones if the queue exceeds its limit. */
  private void enqueue(ByteBuffer message) {
    queue.addLast(message);
    queuedBytes += message.remaining();
    while (queuedBytes > MAX_QUEUED_BYTES) {
      dequeue();
    }
  }

  /** Removes and returns the oldest queued message; null if the queue is empty. */
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
