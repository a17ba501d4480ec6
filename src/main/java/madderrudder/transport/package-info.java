/**
 * The event loop, HTTP/1.1 over non-blocking sockets, and messages between controllers. Nothing
 * here knows what the messages mean. All of it is confined to the event loop thread, except where a
 * method says that it may be called on any thread.
 */
package madderrudder.transport;
