package madderrudder.coordination.state;

import madderrudder.protocol.MachineType;

/** A wish: machines of a type, zone and kind; counted against the budget or not. */
public record ScaleOutRequest(
    MachineType type, String zone, boolean spot, int count, boolean counted) {
  /** What the cloud may have run out of. */
  public record CapacityPool(String type, String zone, boolean spot) {}

  public CapacityPool capacityPool() {
    return new CapacityPool(type.name(), zone, spot);
  }
}
