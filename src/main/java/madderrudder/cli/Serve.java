package madderrudder.cli;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.SplittableRandom;
import madderrudder.coordination.policy.Policy;
import madderrudder.protocol.MeshFrame;
import madderrudder.service.Node;
import madderrudder.service.Settings;
import madderrudder.transport.Addresses;
import madderrudder.transport.HttpClient;
import madderrudder.transport.HttpServer;
import madderrudder.transport.Loop;
import madderrudder.transport.Mesh;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Puts a controller on real sockets and clocks. */
final class Serve {
  private static final Logger LOG = LoggerFactory.getLogger(Serve.class);

  /** Listeners, the channel group's own descriptors, and the mesh. */
  private static final int SOCKETS_ASIDE = 48;

  private final Settings settings;
  private final Policy policy;
  private Node node;

  Serve(Settings settings, Policy policy) {
    this.settings = settings;
    this.policy = policy;
  }

  int run() {
    Loop loop = new Loop();
    try {
      AsynchronousChannelGroup group = AsynchronousChannelGroup.withThreadPool(loop);
      int sockets = Math.max(32, settings.maxSockets() - SOCKETS_ASIDE);
      HttpClient calls = new HttpClient(loop, group, sockets / 4);
      Mesh mesh =
          new Mesh(
              loop,
              group,
              Addresses.parse(settings.meshListen()),
              settings.peers(),
              MeshFrame.MAX_BYTES,
              frame -> node.frame(frame));
      node = new Node(loop, calls, mesh, new SplittableRandom(), settings, policy);
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
