package madderrudder.coordination.registry;

import java.util.List;
import java.util.Optional;
import madderrudder.protocol.StoreCodec.KeyValue;

/**
 * What the store held when a new leader read it, see {@link StoredStateReader}. Not one snapshot:
 * each range, and each page of a large one, was read at its own moment; the watch from {@code
 * liveRevision} brings what changed among the live jobs meanwhile.
 *
 * @param liveJobs the jobs that are not over
 * @param progress the chunks of progress of jobs, some of which may be over by now
 * @param logSegments the segments of the log of machines and placements, in no particular order
 * @param rentals the rentals that were committed and whose answer is not recorded
 * @param runTimes the pages of learned run times; empty where run times are not learned
 * @param rentalBudget what is used up of the rental budget; empty before the first rental
 * @param ownedMachinesRecorded whether the owned machines are recorded, which the first rental does
 * @param liveRevision the store's revision from which to watch the live jobs
 */
public record StoredState(
    List<KeyValue> liveJobs,
    List<KeyValue> progress,
    List<KeyValue> logSegments,
    List<KeyValue> rentals,
    List<KeyValue> runTimes,
    Optional<KeyValue> rentalBudget,
    boolean ownedMachinesRecorded,
    long liveRevision) {}
