package madderrudder.coordination.registry;

import madderrudder.coordination.state.Machine;

/**
 * A container image cached on a machine.
 *
 * @param gb the image's size in gigabytes
 */
record MachineImage(Machine machine, String name, double gb) {}
