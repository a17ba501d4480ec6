/**
 * Which controller leads, and which controllers may answer heartbeats in its stead. The leader is
 * elected by a compare-and-swap on a key that is attached to a lease in the consensus-backed
 * key-value store. A leader may delegate the renewal of worker leases to the other controllers for
 * a bounded time (docs/delegation.md).
 */
package madderrudder.coordination.membership;
