/**
 * Histories of runs: collecting them from controllers, reading, writing and generating them, and
 * replaying them to compare predictors. These classes are in the jar of the tools only; the
 * controllers do not use them.
 */
package madderrudder.replay;
