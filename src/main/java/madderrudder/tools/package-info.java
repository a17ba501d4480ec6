/**
 * The command line of the tools: collecting, generating and replaying histories of task runs, and
 * estimating run times. The tools have a jar of their own, separate from that of the controller.
 */
package madderrudder.tools;
