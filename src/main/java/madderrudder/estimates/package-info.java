/**
 * Predicts how long tasks run, from tasks that have run: a hierarchical model over levels of
 * similar tasks, prediction intervals calibrated online, and factors for machine types. The package
 * has no clock, no threads and no input or output; {@link madderrudder.estimates.Estimator} is its
 * entry, and {@link madderrudder.estimates.EstimatePages} turns its state into text that is stored.
 */
package madderrudder.estimates;
