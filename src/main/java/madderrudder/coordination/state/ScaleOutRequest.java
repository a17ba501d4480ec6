package madderrudder.coordination.state;

import madderrudder.protocol.MachineType;

/**
 * A request to the cloud for machines of one type in one zone, either all spot or all on-demand.
 *
 * @param type the machine type
 * @param zone the zone
 * @param spot whether spot machines are requested
 * @param count the number of machines
 * @param countsAgainstBudget whether they count against the scale-out budget
 */
public record ScaleOutRequest(
    MachineType type, String zone, boolean spot, int count, boolean countsAgainstBudget) {

  /** The capacity pool that the machines are requested from. */
  public CapacityPool capacityPool() {
    return new CapacityPool(type.name(), zone, spot);
  }

  /** Returns the same request with one more machine. */
  public ScaleOutRequest oneMore() {
    return new ScaleOutRequest(type, zone, spot, count + 1, countsAgainstBudget);
  }
}
