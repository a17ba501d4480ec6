/**
 * The client side of the cloud's rental API: a rate-limited client whose responses are typed
 * results, and the catalog of machine types that each controller needs to validate jobs. Only this
 * package interprets the HTTP statuses of the cloud. Everything is confined to the event loop
 * thread.
 */
package madderrudder.coordination.cloud;
