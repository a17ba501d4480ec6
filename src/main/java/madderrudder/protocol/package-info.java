/**
 * The messages that the controller exchanges with users, workers, the store, the cloud and other
 * controllers. The store is the consensus-backed key-value store, the state service of the platform
 * (<code>state</code> in its settings). The wire protocol uses nautical names. The codecs translate
 * between these names and the standard terms of the code, so that code outside this package does
 * not use them. {@code JobFields}, {@code WorkerFields}, {@code StoreFields} and {@code
 * CloudFields} define each field name of their messages once. All values are immutable. The codecs
 * have no state and may be used on any thread.
 *
 * <table>
 * <caption>Names on the wire and the corresponding terms in the code</caption>
 * <tr><th>wire</th><th>term</th><th>in code</th></tr>
 * <tr><td>rig</td><td>job class</td><td>{@link madderrudder.protocol.JobSpec#jobClass()}</td></tr>
 * <tr><td>crew</td><td>team</td><td>{@link madderrudder.protocol.JobSpec#team()}</td></tr>
 * <tr><td>cut</td><td>kind of job: array, gang or service</td>
 *     <td>{@link madderrudder.protocol.JobKind}</td></tr>
 * <tr><td>rank: production, urgent, standard, idle</td><td>priority</td>
 *     <td>{@link madderrudder.protocol.Priority}: PRODUCTION, HIGH, NORMAL, LOW</td></tr>
 * <tr><td>strokes</td><td>tasks</td><td>{@link madderrudder.protocol.JobSpec#tasks()},
 *     {@link madderrudder.protocol.Heartbeat#tasks()}</td></tr>
 * <tr><td>stroke</td><td>task id</td><td>{@link madderrudder.protocol.TaskId}</td></tr>
 * <tr><td>cores, accelerators, mem_gb</td><td>resources</td>
 *     <td>{@link madderrudder.protocol.Resources}</td></tr>
 * <tr><td>hull</td><td>image</td><td>{@link madderrudder.protocol.JobSpec#image()}</td></tr>
 * <tr><td>build, builds</td><td>machine type</td>
 *     <td>{@link madderrudder.protocol.MachineType}</td></tr>
 * <tr><td>label</td><td>name of a machine type</td>
 *     <td>{@link madderrudder.protocol.MachineType#name()}</td></tr>
 * <tr><td>berth, berths</td><td>zone</td><td>{@link madderrudder.protocol.JobSpec#zone()},
 *     {@link madderrudder.protocol.MachineType#zones()}</td></tr>
 * <tr><td>apart</td><td>spread over zones</td>
 *     <td>{@link madderrudder.protocol.JobSpec#spread()}</td></tr>
 * <tr><td>driftwood</td><td>spot machine</td><td>{@link madderrudder.protocol.Heartbeat#spot()},
 *     {@link madderrudder.protocol.JobSpec#spotAllowed()}</td></tr>
 * <tr><td>reckon_s</td><td>the owner's estimate of a task's run time</td>
 *     <td>{@link madderrudder.protocol.JobSpec#estimateMicros()}</td></tr>
 * <tr><td>mark_s</td><td>checkpoint interval</td>
 *     <td>{@link madderrudder.protocol.JobSpec#checkpointIntervalMicros()}</td></tr>
 * <tr><td>stow_s</td><td>time to save a checkpoint</td>
 *     <td>{@link madderrudder.protocol.JobSpec#checkpointSaveMicros()}</td></tr>
 * <tr><td>tide_s</td><td>deadline</td>
 *     <td>{@link madderrudder.protocol.JobSpec#deadlineMicros()}</td></tr>
 * <tr><td>trim (of a job): pending, running, done, aborted</td><td>job state</td>
 *     <td>{@link madderrudder.protocol.JobState}</td></tr>
 * <tr><td>vessel</td><td>machine id</td>
 *     <td>{@link madderrudder.protocol.Heartbeat#machine()}</td></tr>
 * <tr><td>watch</td><td>epoch: the incarnation of a worker</td>
 *     <td>{@link madderrudder.protocol.Heartbeat#epoch()}</td></tr>
 * <tr><td>knot</td><td>sequence number of a heartbeat</td>
 *     <td>{@link madderrudder.protocol.Heartbeat#sequence()}</td></tr>
 * <tr><td>helm</td><td>fencing token, the leader's term</td>
 *     <td>{@link madderrudder.protocol.Heartbeat#token()}</td></tr>
 * <tr><td>recall_s</td><td>reclaim notice of a spot machine</td>
 *     <td>{@link madderrudder.protocol.Heartbeat#reclaimNoticeMicros()}</td></tr>
 * <tr><td>launch</td><td>attempt</td>
 *     <td>{@link madderrudder.protocol.TaskStatus#attempt()}</td></tr>
 * <tr><td>trim (of a task): fetching, gathering, running, flushing, ended</td><td>phase</td>
 *     <td>{@link madderrudder.protocol.TaskStatus.Phase}: FETCHING, WAITING, RUNNING, SAVING,
 *     EXITED</td></tr>
 * <tr><td>wake: done, halted, mates_gone, alone, error, no_room, busy, unknown</td>
 *     <td>exit reason</td><td>{@link madderrudder.protocol.TaskStatus.ExitReason}</td></tr>
 * <tr><td>orders, order</td><td>commands to a worker, operation of a command</td>
 *     <td>{@link madderrudder.protocol.WorkerCommand}</td></tr>
 * <tr><td>slack_s</td><td>grace period</td>
 *     <td>{@link madderrudder.protocol.WorkerCommand#graceMicros()}</td></tr>
 * <tr><td>harbor</td><td>the leader, in a redirect</td>
 *     <td>{@link madderrudder.protocol.WorkerCodec#redirect}</td></tr>
 * <tr><td>charter</td><td>idempotency key of a rental request</td>
 *     <td>{@link madderrudder.protocol.CloudCodec#rentRequest}</td></tr>
 * <tr><td>fleet</td><td>machines</td>
 *     <td>{@link madderrudder.protocol.CloudCodec.Page#machines()}</td></tr>
 * <tr><td>trim (of a machine): booting, running, failed</td><td>machine state</td>
 *     <td>{@link madderrudder.protocol.CloudCodec.MachineState}</td></tr>
 * <tr><td>path, data</td><td>key, value</td>
 *     <td>{@link madderrudder.protocol.StoreCodec.KeyValue}</td></tr>
 * <tr><td>entry</td><td>version of a key</td>
 *     <td>{@link madderrudder.protocol.StoreCodec.KeyValue#version()}</td></tr>
 * <tr><td>logline</td><td>revision of the store</td>
 *     <td>{@link madderrudder.protocol.StoreCodec.Page#revision()}</td></tr>
 * <tr><td>when</td><td>conditions of a transaction (compare-and-swap)</td>
 *     <td>{@link madderrudder.protocol.StoreCodec.Condition}</td></tr>
 * <tr><td>write, drop</td><td>put, delete</td>
 *     <td>{@link madderrudder.protocol.StoreCodec.Write}</td></tr>
 * <tr><td>mooring, holds</td><td>lease of keys</td>
 *     <td>{@link madderrudder.protocol.StoreCodec.Write#lease()}</td></tr>
 * <tr><td>news, follow</td><td>events of a watch</td>
 *     <td>{@link madderrudder.protocol.StoreCodec#readEvents}</td></tr>
 * </table>
 */
package madderrudder.protocol;
