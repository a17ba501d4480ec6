/**
 * Rents machines from the cloud and returns them. {@link
 * madderrudder.coordination.scaleout.ScaleOutController} is the entry point. The other classes send
 * rental requests with durable intents, poll the cloud's machine list, reconcile machines, and
 * delete retired machines. All are confined to the event loop thread, and their instances last for
 * one leader term.
 */
package madderrudder.coordination.scaleout;
