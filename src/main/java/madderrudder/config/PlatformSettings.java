package madderrudder.config;

import java.util.Map;
import madderrudder.coordination.policy.Deployment;

/**
 * The platform's settings, checked.
 *
 * @param member this controller's name
 * @param zone the zone this controller stands in
 * @param clientListen the address where users and workers are served
 * @param peerListen the address where the other controllers are listened to
 * @param peers the other controllers' addresses by their names
 * @param cloudAddress the address of the cloud's API
 * @param stateAddress the address of the key-value store
 * @param deployment what the platform says of the place this service runs in
 * @param maxSockets how many sockets this process may have open
 */
public record PlatformSettings(
    String member,
    String zone,
    String clientListen,
    String peerListen,
    Map<String, String> peers,
    String cloudAddress,
    String stateAddress,
    Deployment deployment,
    int maxSockets) {

  /**
   * Reads the settings from the bytes of the file, a JSON object.
   *
   * @throws InvalidSettingsException with everything that is wrong with them
   */
  public static PlatformSettings parse(byte[] text) throws InvalidSettingsException {
    return PlatformSettingsReader.read(text);
  }
}
