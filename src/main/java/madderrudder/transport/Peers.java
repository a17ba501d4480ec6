package madderrudder.transport;

import java.nio.ByteBuffer;

/** Sends a frame to every other controller that can be reached; frames may be lost, and may come late. */
public interface Peers {
    void broadcast(ByteBuffer frame);
}
