/**
 * Histories of task runs: collecting them from the controllers, reading, writing and generating
 * them, and replaying them to compare run time predictors. These classes are only in the jar of the
 * tools; the controllers do not use them.
 */
package madderrudder.replay;
