/**
 * The command line of the tools: collecting, generating and replaying histories of runs, and asking
 * for estimates. It is in a jar of its own, beside that of the controller.
 */
package madderrudder.tools;
