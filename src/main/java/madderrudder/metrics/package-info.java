/**
 * The measurements that a controller serves to operators: histograms of durations, and the history
 * of ended task runs with its JSON form. Scheduling decisions do not depend on this package.
 */
package madderrudder.metrics;
