/**
 * The leader's processing of worker heartbeats. The entry point is {@link
 * madderrudder.coordination.heartbeat.HeartbeatHandler}. {@code HeartbeatIngest} applies a
 * heartbeat to the cluster state, {@code CommandPlanner} chooses the commands of the answer without
 * side effects, and {@code SentCommandRecorder} records the commands as sent. {@code
 * DirectCommandSender} sends commands that cannot wait for the next heartbeat.
 *
 * <p>All classes are confined to the event loop thread.
 */
package madderrudder.coordination.heartbeat;
