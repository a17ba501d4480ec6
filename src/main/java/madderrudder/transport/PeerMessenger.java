package madderrudder.transport;

import java.nio.ByteBuffer;

/** Sends frames to the other controllers; they may be lost, and may come late. */
public interface PeerMessenger {
  /** To all of them that can be reached. */
  void broadcast(ByteBuffer frame);

  /** To one, by its name; nothing happens if there is none. */
  void send(String member, ByteBuffer frame);
}
