package madderrudder.coordination.scheduling;

import madderrudder.coordination.state.Machine;
import madderrudder.coordination.state.ScaleOutRequest;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Resources;

/** A machine that is booting or requested, and its free capacity in a planning round. */
final class IncomingMachine {
  final MachineType type;
  final String zone;
  final boolean spot;
  Resources free;

  private IncomingMachine(MachineType type, String zone, boolean spot, Resources free) {
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.free = free;
  }

  /** Creates an entry for a rented machine that is not yet usable. */
  static IncomingMachine of(Machine machine) {
    return new IncomingMachine(machine.type, machine.zone, machine.spot, machine.free());
  }

  /** Creates an entry for one machine of the request. */
  static IncomingMachine of(ScaleOutRequest request) {
    return new IncomingMachine(
        request.type(), request.zone(), request.spot(), request.type().capacity());
  }
}
