package madderrudder.config;

import java.util.Map;
import madderrudder.coordination.policy.Deployment;

/**
 * The platform's settings, validated.
 *
 * @param memberName this controller's name
 * @param zone the zone this controller runs in
 * @param clientListenAddress the address on which this controller serves users and workers
 * @param peerListenAddress the address on which this controller accepts connections of other
 *     controllers
 * @param peerAddresses the addresses of the other controllers, by name
 * @param cloudAddress the address of the cloud's API
 * @param storeAddress the address of the key-value store
 * @param deployment the zones, teams, limits and objectives of the platform
 * @param maxSockets the maximum number of sockets that this process may have open
 */
public record PlatformSettings(
    String memberName,
    String zone,
    String clientListenAddress,
    String peerListenAddress,
    Map<String, String> peerAddresses,
    String cloudAddress,
    String storeAddress,
    Deployment deployment,
    int maxSockets) {

  /**
   * Parses and validates the contents of the settings file, a JSON object.
   *
   * @throws InvalidSettingsException with all problems found
   */
  public static PlatformSettings parse(byte[] json) throws InvalidSettingsException {
    return PlatformSettingsReader.read(json);
  }
}
