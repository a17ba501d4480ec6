/**
 * Leader election, and delegation of heartbeat answers to other controllers. A controller becomes
 * leader by a compare-and-swap on a key that is attached to a lease in the consensus-backed
 * key-value store. The leader may delegate the renewal of worker leases to the other controllers
 * for a bounded time; docs/delegation.md describes the protocol.
 */
package madderrudder.coordination.membership;
