package madderrudder.transport;

import java.nio.ByteBuffer;

/** Sends messages to the other controllers. A message may be lost or delayed. */
public interface PeerMessenger {
  /**
   * Sends the message to all other controllers that are reachable.
   *
   * @param message the message with its length in front
   */
  void broadcast(ByteBuffer message);

  /**
   * Sends the message to one controller. Has no effect if no other controller has the given name.
   *
   * @param message the message with its length in front
   */
  void send(String member, ByteBuffer message);
}
