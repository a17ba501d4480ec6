/**
 * Rents machines from the cloud and returns them. {@link
 * madderrudder.coordination.scaleout.ScaleOutController} is the only entry point; behind it are the
 * rental requests with their durable intents, the poller of the cloud's machine list, the
 * reconciliation of machines, and the deletion of retired machines. Everything is confined to the
 * event loop thread and lasts for one leader term.
 */
package madderrudder.coordination.scaleout;
