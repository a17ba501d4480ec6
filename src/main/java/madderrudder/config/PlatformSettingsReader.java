package madderrudder.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import madderrudder.coordination.policy.Deployment;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;

/** Reads the platform's settings and reports all problems at once. */
final class PlatformSettingsReader {
  private static final double DEFAULT_MAX_SOCKETS = 1024;

  private final SettingsProblems problems = new SettingsProblems();
  private final JsonFields root;

  /** Replaces a missing section, so that the fields required in it are reported too. */
  private final JsonFields emptySection;

  private PlatformSettingsReader(JsonFields root, JsonFields emptySection) {
    this.root = root;
    this.emptySection = emptySection;
  }

  static PlatformSettings read(byte[] json) throws InvalidSettingsException {
    PlatformSettingsReader reader;
    try {
      JsonFields emptySection = Json.readObject(new byte[] {'{', '}'});
      reader = new PlatformSettingsReader(Json.readObject(json), emptySection);
    } catch (MalformedMessageException e) {
      throw new InvalidSettingsException(List.of("invalid platform settings: " + e.getMessage()));
    }
    return reader.readSettings();
  }

  private PlatformSettings readSettings() throws InvalidSettingsException {
    Map<String, String> peerAddresses = readPeerAddresses();
    JsonFields external =
        problems.readOrDefault("external", emptySection, () -> root.object("external"));
    JsonFields deployment =
        problems.readOrDefault("deployment", emptySection, () -> root.object("deployment"));
    PlatformSettings settings =
        new PlatformSettings(
            problems.readOrDefault("member", "", () -> root.text("member")),
            problems.readOrDefault("zone", "", () -> root.text("zone")),
            problems.address("", root, "client_listen"),
            problems.address("", root, "mesh_addr"),
            peerAddresses,
            problems.address("external.", external, "cloud"),
            problems.address("external.", external, "state"),
            readDeployment(deployment, peerAddresses.size() + 1),
            readMaxSockets(deployment));
    problems.throwIfAny();
    return settings;
  }

  private Map<String, String> readPeerAddresses() {
    Map<String, String> peerAddresses = new LinkedHashMap<>();
    List<JsonFields> members =
        problems.readOrDefault("members", List.<JsonFields>of(), () -> root.objects("members"));
    for (JsonFields peer : members) {
      String path = "members[" + peerAddresses.size() + "].";
      String name = problems.readOrDefault(path + "member", "", () -> peer.text("member"));
      if (peerAddresses.put(name, problems.address(path, peer, "peer_addr")) != null) {
        problems.add(path + "member", "\"" + name + "\" is listed twice");
      }
    }
    return peerAddresses;
  }

  private Deployment readDeployment(JsonFields section, int controllerCount) {
    return new DeploymentReader(problems, section, emptySection).read(controllerCount);
  }

  private int readMaxSockets(JsonFields deployment) {
    if (!deployment.has("limits")) {
      return (int) DEFAULT_MAX_SOCKETS;
    }
    JsonFields limits =
        problems.readOrDefault(
            "deployment.limits", emptySection, () -> deployment.object("limits"));
    return (int)
        (limits.has("max_sockets")
            ? problems.positiveAmount("deployment.limits.", limits, "max_sockets")
            : DEFAULT_MAX_SOCKETS);
  }
}
