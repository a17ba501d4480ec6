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

/** Puts a controller on real sockets and clocks. */
final class ServeCommand {
  private static final Logger LOG = LoggerFactory.getLogger(ServeCommand.class);

  /** Listeners, the channel group's own descriptors, and the mesh. */
  private static final int SOCKETS_ASIDE = 48;

  private final PlatformSettings settings;
  private final OperatorPolicy policy;
  private ControllerNode node;

  ServeCommand(PlatformSettings settings, OperatorPolicy policy) {
    this.settings = settings;
    this.policy = policy;
  }

  int run() {
    EventLoop loop = new EventLoop();
    try {
      AsynchronousChannelGroup group = AsynchronousChannelGroup.withThreadPool(loop);
      int sockets = Math.max(32, settings.maxSockets() - SOCKETS_ASIDE);
      HttpClient calls = new HttpClient(loop, group, sockets / 4);
      PeerTransport mesh =
          new PeerTransport(
              loop,
              group,
              Addresses.parse(settings.meshListen()),
              settings.peers(),
              PeerMessageCodec.MAX_BYTES,
              frame -> node.frame(frame));
      node = new ControllerNode(loop, calls, mesh, new SplittableRandom(), settings, policy);
      HttpServer server =
          new HttpServer(
              loop, group, Addresses.parse(settings.clientListen()), sockets - sockets / 4, node);
      loop.execute(
          () -> {
            mesh.start();
            server.start();
            node.start();
            LOG.info("{} serves on {}", settings.member(), settings.clientListen());
          });
    } catch (IOException e) {
      LOG.error("can't begin to serve: {}", e.toString());
      return 1;
    }
    loop.run();
    return 0;
  }
}
