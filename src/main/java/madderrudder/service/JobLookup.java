package madderrudder.service;

import madderrudder.persistence.JobRecords;

/** What the store says of a job. */
sealed interface JobLookup {
  /**
   * The job was accepted and has not ended.
   *
   * @param job the stored job
   * @param version the version of its key, for a compare-and-swap
   */
  record Live(JobRecords.Live job, long version) implements JobLookup {}

  /**
   * The job has ended, which never changes.
   *
   * @param end how it ended
   */
  record Finished(JobRecords.Finished end) implements JobLookup {}

  /** There is no such job. */
  record Absent() implements JobLookup {}

  /** The store did not answer, or its record is unreadable. */
  record Unknown() implements JobLookup {}
}
