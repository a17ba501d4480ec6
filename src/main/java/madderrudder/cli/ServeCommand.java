package madderrudder.cli;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.SplittableRandom;
import madderrudder.config.PlatformSettings;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.protocol.PeerMessageCodec;
import madderrudder.service.ControllerNode;
import madderrudder.transport.Addresses;
import madderrudder.transport.EventLoop;
import madderrudder.transport.HttpClient;
import madderrudder.transport.HttpServer;
import madderrudder.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs a controller on real sockets and clocks. */
final class ServeCommand {
  private static final Logger LOG = LoggerFactory.getLogger(ServeCommand.class);

  /** For the listeners, the channel group's own descriptors and the connections to peers. */
  private static final int RESERVED_SOCKETS = 48;

  private static final int MIN_SOCKETS = 32;

  private final PlatformSettings settings;
  private final OperatorPolicy policy;
  private ControllerNode node;

  ServeCommand(PlatformSettings settings, OperatorPolicy policy) {
    this.settings = settings;
    this.policy = policy;
  }

  /**
   * Makes the calling thread the event loop thread of a controller.
   *
   * @return 1 if the controller could not begin; otherwise 0, once the event loop was shut down
   */
  int run() {
    EventLoop loop = new EventLoop();
    try {
      start(loop);
    } catch (IOException e) {
      LOG.error("can't begin to serve: {}", e.toString());
      return 1;
    }
    loop.run();
    return 0;
  }

  private void start(EventLoop loop) throws IOException {
    AsynchronousChannelGroup group = AsynchronousChannelGroup.withThreadPool(loop);
    int sockets = Math.max(MIN_SOCKETS, settings.maxSockets() - RESERVED_SOCKETS);
    HttpClient client = new HttpClient(loop, group, sockets / 4);
    PeerTransport peers =
        new PeerTransport(
            loop,
            group,
            Addresses.parse(settings.peerListen()),
            settings.peers(),
            PeerMessageCodec.MAX_BYTES,
            message -> node.handlePeerMessage(message));
    node = new ControllerNode(loop, client, peers, new SplittableRandom(), settings, policy);
    HttpServer server =
        new HttpServer(
            loop, group, Addresses.parse(settings.clientListen()), sockets - sockets / 4, node);
    loop.execute(
        () -> {
          peers.start();
          server.start();
          node.start();
          LOG.info("{} serves on {}", settings.member(), settings.clientListen());
        });
  }
}
