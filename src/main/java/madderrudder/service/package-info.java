/**
 * One controller as its peers, workers and users see it: routing of requests, the job API, the
 * heartbeat endpoint, the status exchange with the other controllers, and the wiring of all parts.
 */
package madderrudder.service;
