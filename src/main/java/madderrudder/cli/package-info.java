/**
 * The command line of the controller. It reads the settings and either runs a controller on real
 * sockets and clocks, or only validates the settings. All of it runs on the main thread, which
 * becomes the event loop thread once a controller serves.
 */
package madderrudder.cli;
