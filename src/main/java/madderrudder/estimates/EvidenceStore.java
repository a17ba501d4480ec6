package madderrudder.estimates;

import java.util.List;
import java.util.Map;
import madderrudder.util.BoundedMap;

/**
 * Holds the evidence of an estimator by profile and by job. Both maps are bounded and evict the
 * least recently used entry; a lookup counts as a use.
 */
final class EvidenceStore {
  /** The levels whose evidence spans several jobs, the most specific first. */
  static final List<Level> LEVELS = List.of(Level.WORK, Level.TEAM, Level.CLASS, Level.ALL);

  private final LearningMethod method;
  private final Map<ProfileKey, Evidence> byProfile;
  private final Map<String, SiblingTasks> byJob;

  EvidenceStore(int maxProfiles, int maxJobs, LearningMethod method) {
    this.method = method;
    byProfile = BoundedMap.evictingLeastRecentlyUsed(maxProfiles);
    byJob = BoundedMap.evictingLeastRecentlyUsed(maxJobs);
  }

  /** The evidence for the task at the level, or null if there is none. */
  Evidence find(TaskProfile profile, Level level) {
    return byProfile.get(profile.keyAt(level));
  }

  /** The observed tasks of the job, or null if there are none. */
  SiblingTasks findSiblings(String job) {
    return byJob.get(job);
  }

  /** The observed tasks of the job, created empty if there are none. */
  SiblingTasks getOrCreateSiblings(String job) {
    return byJob.computeIfAbsent(job, added -> new SiblingTasks());
  }

  /**
   * Adds a run to the evidence of its job and, at some counts, of its profile. A job with many
   * tasks carries little more information about other jobs than a job with few: only its first
   * task, and the task at each doubling of the count, are added at the levels above the job.
   */
  void learn(TaskRun run, SiblingTasks siblings, double durationMicros) {
    siblings.add(durationMicros);
    if (!siblings.isTaskCountPowerOfTwo()) {
      return;
    }
    long ratio = HistogramScale.toStoredRatio(durationMicros, run.ownerEstimateMicros());
    long duration = HistogramScale.toStoredDuration(durationMicros);
    for (Level level : LEVELS) {
      getOrCreateEvidence(run.profile().keyAt(level)).add(ratio, duration);
    }
  }

  private Evidence getOrCreateEvidence(ProfileKey profile) {
    return byProfile.computeIfAbsent(
        profile, added -> new Evidence(method.generationRuns(added.level())));
  }

  /**
   * Merges the evidence by profile of the other store into this one; evidence by job is not merged.
   */
  void merge(EvidenceStore other) {
    other.byProfile.forEach((profile, evidence) -> getOrCreateEvidence(profile).merge(evidence));
  }

  /** A live view of the evidence by profile, the least recently used first. */
  Map<ProfileKey, Evidence> byProfile() {
    return byProfile;
  }
}
