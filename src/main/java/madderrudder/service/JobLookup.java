package madderrudder.service;

import madderrudder.persistence.JobRecords;

/** The result of looking up a job in the store. */
sealed interface JobLookup {
  /**
   * The job was accepted and is not finished.
   *
   * @param job the stored job
   * @param version the version of the job's key, for a compare-and-swap
   */
  record Live(JobRecords.Live job, long version) implements JobLookup {}

  /**
   * The job is finished. This state never changes.
   *
   * @param result the final state and the number of completed tasks
   */
  record Finished(JobRecords.Finished result) implements JobLookup {}

  /** The store has no record of the job. */
  record Absent() implements JobLookup {}

  /** The store did not respond, or the job's record is unreadable. */
  record Unknown() implements JobLookup {}
}
