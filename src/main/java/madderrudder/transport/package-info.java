/**
 * The event loop, an HTTP/1.1 client and server on non-blocking sockets, and the transport of
 * messages between controllers. The package does not interpret message contents. All types are
 * confined to the event loop thread, except for methods documented as callable on any thread.
 */
package madderrudder.transport;
