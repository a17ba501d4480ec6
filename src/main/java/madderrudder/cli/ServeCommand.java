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

/** The {@code serve} command: runs a controller on real sockets and clocks. */
final class ServeCommand {
  private static final Logger LOG = LoggerFactory.getLogger(ServeCommand.class);

  /**
   * Sockets set aside for the listeners, the channel group's own descriptors and the connections to
   * other controllers.
   */
  private static final int RESERVED_SOCKETS = 48;

  private static final int MIN_HTTP_SOCKETS = 32;

  private final PlatformSettings settings;
  private final OperatorPolicy policy;
  private ControllerNode node;

  ServeCommand(PlatformSettings settings, OperatorPolicy policy) {
    this.settings = settings;
    this.policy = policy;
  }

  /**
   * Runs a controller on the calling thread, which becomes its event loop thread.
   *
   * @return the exit status: 1 if the controller failed to start, 0 after the event loop is shut
   *     down
   */
  int run() {
    EventLoop loop = new EventLoop();
    try {
      start(loop);
    } catch (IOException e) {
      LOG.error("controller failed to start: {}", e.toString());
      return 1;
    }
    loop.run();
    return 0;
  }

  private void start(EventLoop loop) throws IOException {
    AsynchronousChannelGroup group = AsynchronousChannelGroup.withThreadPool(loop);
    int httpSockets = Math.max(MIN_HTTP_SOCKETS, settings.maxSockets() - RESERVED_SOCKETS);
    HttpClient client = new HttpClient(loop, group, httpSockets / 4);
    PeerTransport peers =
        new PeerTransport(
            loop,
            group,
            Addresses.parse(settings.peerListenAddress()),
            settings.peerAddresses(),
            PeerMessageCodec.MAX_BYTES,
            message -> node.handlePeerMessage(message));
    node = new ControllerNode(loop, client, peers, new SplittableRandom(), settings, policy);
    HttpServer server =
        new HttpServer(
            loop,
            group,
            Addresses.parse(settings.clientListenAddress()),
            httpSockets - httpSockets / 4,
            node);
    loop.execute(
        () -> {
          peers.start();
          server.start();
          node.start();
          LOG.info(
              "controller {} serves users and workers on {}",
              settings.memberName(),
              settings.clientListenAddress());
        });
  }
}
