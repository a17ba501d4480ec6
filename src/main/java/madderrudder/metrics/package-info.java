/**
 * What a controller measures for operators: histograms of how long things take, and the history of
 * task runs that have ended with its JSON form. Nothing here affects a scheduling decision.
 */
package madderrudder.metrics;
