/**
 * Heartbeats of workers, from the report that comes in to the commands that answer it. {@link
 * madderrudder.coordination.heartbeat.HeartbeatHandler} is the entry. A heartbeat is first taken
 * into the cluster state ({@code HeartbeatIngest}); which commands answer it is then decided by a
 * pure function ({@code CommandPlanner}), and what was sent is noted in a step of its own ({@code
 * SentCommands}).
 *
 * <p>Everything here is confined to the event loop thread.
 */
package madderrudder.coordination.heartbeat;
