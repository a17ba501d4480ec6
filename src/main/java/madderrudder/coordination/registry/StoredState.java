package madderrudder.coordination.registry;

import java.util.List;
import java.util.Optional;
import madderrudder.protocol.StoreCodec.KeyValue;

/**
 * The records that a new leader reads from the store, see {@link StoredStateReader}. They are not
 * one snapshot: each key range, and each page of a large range, is read at a different revision. A
 * watch from {@code liveJobsRevision} reports the changes to live jobs since the first page.
 *
 * @param liveJobs the jobs that have not ended
 * @param progressChunks the stored chunks of job progress; some of their jobs may have ended
 * @param logSegments the segments of the log of machines and assignments, in no particular order
 * @param pendingRentals the committed rental requests for which no response from the cloud is
 *     recorded
 * @param runTimePages the pages of learned run times; empty if learning is turned off
 * @param rentalBudget the used part of the rental budget; empty before the first rental
 * @param ownedMachinesRecorded whether the owned machines are recorded; the first rental records
 *     them
 * @param liveJobsRevision the store revision from which to watch the live jobs
 */
public record StoredState(
    List<KeyValue> liveJobs,
    List<KeyValue> progressChunks,
    List<KeyValue> logSegments,
    List<KeyValue> pendingRentals,
    List<KeyValue> runTimePages,
    Optional<KeyValue> rentalBudget,
    boolean ownedMachinesRecorded,
    long liveJobsRevision) {}
