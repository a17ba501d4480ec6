/**
 * The command line of the controller: it reads the settings, then runs a controller on real sockets
 * and clocks, or checks the settings and ends. All of it runs on the main thread, which becomes the
 * event loop thread of a serving controller.
 */
package madderrudder.cli;
