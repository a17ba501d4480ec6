package madderrudder.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import madderrudder.coordination.policy.Deployment;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;

/** Reads the platform's settings, naming all mistakes at once. */
final class PlatformSettingsReader {
  private static final double DEFAULT_MAX_SOCKETS = 1024;

  private final SettingsProblems problems = new SettingsProblems();
  private final JsonFields root;

  /** Stands for a section that is missing. */
  private final JsonFields empty;

  private PlatformSettingsReader(JsonFields root, JsonFields empty) {
    this.root = root;
    this.empty = empty;
  }

  static PlatformSettings read(byte[] text) throws InvalidSettingsException {
    PlatformSettingsReader reader;
    try {
      JsonFields empty = Json.readObject(new byte[] {'{', '}'});
      reader = new PlatformSettingsReader(Json.readObject(text), empty);
    } catch (MalformedMessageException e) {
      throw new InvalidSettingsException(List.of("the settings are " + e.getMessage()));
    }
    return reader.settings();
  }

  private PlatformSettings settings() throws InvalidSettingsException {
    Map<String, String> peers = peers();
    JsonFields external = problems.read("external", empty, () -> root.object("external"));
    JsonFields deployment = problems.read("deployment", empty, () -> root.object("deployment"));
    PlatformSettings settings =
        new PlatformSettings(
            problems.read("member", "", () -> root.text("member")),
            problems.read("zone", "", () -> root.text("zone")),
            problems.address("", root, "client_listen"),
            problems.address("", root, "mesh_addr"),
            peers,
            problems.address("external.", external, "cloud"),
            problems.address("external.", external, "state"),
            deployment(deployment, peers.size() + 1),
            maxSockets(deployment));
    problems.throwIfAny();
    return settings;
  }

  private Map<String, String> peers() {
    Map<String, String> peers = new LinkedHashMap<>();
    List<JsonFields> members =
        problems.read("members", List.<JsonFields>of(), () -> root.objects("members"));
    for (JsonFields peer : members) {
      String path = "members[" + peers.size() + "].";
      String name = problems.read(path + "member", "", () -> peer.text("member"));
      if (peers.put(name, problems.address(path, peer, "peer_addr")) != null) {
        problems.add(path + "member", "\"" + name + "\" is named twice");
      }
    }
    return peers;
  }

  private Deployment deployment(JsonFields section, int members) {
    return new DeploymentReader(problems, section, empty).read(members);
  }

  private int maxSockets(JsonFields deployment) {
    if (!deployment.has("limits")) {
      return (int) DEFAULT_MAX_SOCKETS;
    }
    JsonFields limits =
        problems.read("deployment.limits", empty, () -> deployment.object("limits"));
    return (int)
        (limits.has("max_sockets")
            ? problems.positive("deployment.limits.", limits, "max_sockets")
            : DEFAULT_MAX_SOCKETS);
  }
}
