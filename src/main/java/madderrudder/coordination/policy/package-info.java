/**
 * What the platform and the operators have set, and the bounds in time and the tokens that follow
 * from it. Plain values without clocks or side effects.
 */
package madderrudder.coordination.policy;
