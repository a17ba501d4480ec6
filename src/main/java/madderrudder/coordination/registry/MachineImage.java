package madderrudder.coordination.registry;

import madderrudder.coordination.state.Machine;

/**
 * A container image cached on a machine.
 *
 * @param machine the machine that has the image in its cache
 * @param name the name of the image
 * @param gb the image's size in gigabytes
 */
record MachineImage(Machine machine, String name, double gb) {}
