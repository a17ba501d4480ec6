/**
 * The cloud's rental API as the leader sees it: a rate-limited client whose responses are typed
 * results, and the catalog of machine types that every controller node needs to judge jobs. What
 * each HTTP status means is decided here and nowhere else. Everything is confined to the event loop
 * thread.
 */
package madderrudder.coordination.cloud;
