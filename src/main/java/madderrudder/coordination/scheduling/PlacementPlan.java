package madderrudder.coordination.scheduling;

import java.util.List;
import java.util.Set;
import madderrudder.coordination.state.Machine;

/**
 * The result of a placement round.
 *
 * @param placements the placements, in the order in which jobs receive capacity
 * @param neededByGangs the machines with free capacity for gangs that must wait for more of it,
 *     whether or not it is still reserved for them
 */
public record PlacementPlan(List<Placement> placements, Set<Machine> neededByGangs) {}
