package madderrudder.coordination.state;

import madderrudder.protocol.MachineType;

/**
 * A request for machines of one type, zone and kind.
 *
 * @param type the machine type
 * @param zone the zone
 * @param spot whether spot instances are requested
 * @param count the number of machines
 * @param counted whether they count against the scale-out budget
 */
public record ScaleOutRequest(
    MachineType type, String zone, boolean spot, int count, boolean counted) {

  /** The pool that the machines come from. */
  public CapacityPool capacityPool() {
    return new CapacityPool(type.name(), zone, spot);
  }

  /** The same request for one machine more. */
  public ScaleOutRequest oneMore() {
    return new ScaleOutRequest(type, zone, spot, count + 1, counted);
  }
}
