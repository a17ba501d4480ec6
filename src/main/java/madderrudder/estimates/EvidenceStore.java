package madderrudder.estimates;

import java.util.List;
import java.util.Map;
import madderrudder.util.BoundedMap;

/**
 * All evidence that an estimator has, by profile and by job. Bounded: the least recently used
 * profile or job is forgotten, where a look-up counts as a use.
 */
final class EvidenceStore {
  /** The levels whose evidence outlasts a job, the most specific first. */
  static final List<Level> LEVELS = List.of(Level.WORK, Level.TEAM, Level.CLASS, Level.ALL);

  private final LearningMethod method;
  private final Map<ProfileKey, Evidence> byProfile;
  private final Map<String, SiblingTasks> byJob;

  EvidenceStore(int maxProfiles, int maxJobs, LearningMethod method) {
    this.method = method;
    byProfile = BoundedMap.evictingLeastRecentlyUsed(maxProfiles);
    byJob = BoundedMap.evictingLeastRecentlyUsed(maxJobs);
  }

  /** The evidence for the task at the level, or null if nothing alike has run. */
  Evidence find(TaskProfile profile, Level level) {
    return byProfile.get(profile.keyAt(level));
  }

  /** The tasks of the job that have run, or null if none has been seen. */
  SiblingTasks findSiblings(String job) {
    return byJob.get(job);
  }

  /** The tasks of the job that have run, added if none has been seen. */
  SiblingTasks siblings(String job) {
    return byJob.computeIfAbsent(job, added -> new SiblingTasks());
  }

  /**
   * Takes in a run. A job of many tasks says little more about other jobs than one of few: it
   * counts with its first task, and again each time that the number of its tasks has doubled.
   */
  void learn(TaskRun run, SiblingTasks siblings, double durationMicros) {
    siblings.learn(durationMicros);
    if (!siblings.countIsPowerOfTwo()) {
      return;
    }
    long ratio = HistogramScale.ratio(durationMicros, run.ownerEstimateMicros());
    long duration = HistogramScale.duration(durationMicros);
    for (Level level : LEVELS) {
      evidence(run.profile().keyAt(level)).add(ratio, duration);
    }
  }

  private Evidence evidence(ProfileKey profile) {
    return byProfile.computeIfAbsent(
        profile, added -> new Evidence(method.windowRuns(added.level())));
  }

  /** Takes in the evidence by profile of another store; single jobs are left out. */
  void merge(EvidenceStore other) {
    other.byProfile.forEach((profile, evidence) -> evidence(profile).merge(evidence));
  }

  /** The evidence by profile, the least recently used first. */
  Map<ProfileKey, Evidence> byProfile() {
    return byProfile;
  }
}
