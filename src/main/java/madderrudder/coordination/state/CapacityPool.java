package madderrudder.coordination.state;

/**
 * A pool of machines in the cloud whose capacity may be exhausted independently of other pools.
 *
 * @param type the name of the machine type
 * @param zone the zone
 * @param spot whether the machines are spot machines
 */
public record CapacityPool(String type, String zone, boolean spot) {}
