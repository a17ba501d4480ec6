/**
 * Predicts task run times from the run times of ended tasks, using a hierarchical model over levels
 * of similar tasks, prediction intervals calibrated online, and speed factors of machine types. The
 * package uses no clock, no threads and no I/O. {@link madderrudder.estimates.Estimator} is the
 * entry point, and {@link madderrudder.estimates.EstimatePages} encodes its state as text for
 * storage.
 */
package madderrudder.estimates;
