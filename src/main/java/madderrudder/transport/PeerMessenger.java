package madderrudder.transport;

import java.nio.ByteBuffer;

/** Sends messages to the other controllers; they may be lost, and may come late. */
public interface PeerMessenger {
  /** Sends the message, with its length, to all other controllers that can be reached. */
  void broadcast(ByteBuffer message);

  /** Sends the message, with its length, to one controller; to nobody if there is none so named. */
  void send(String member, ByteBuffer message);
}
