/**
 * The settings of the platform and of the operators, and the time bounds and fencing tokens derived
 * from them. Plain values without clocks or side effects.
 */
package madderrudder.coordination.policy;
