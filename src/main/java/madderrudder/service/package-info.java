/**
 * The interface of a controller to its peers, workers and users: request routing, the job API, the
 * heartbeat endpoint and the status exchange with the other controllers; also the class that
 * creates and connects the components of a controller.
 */
package madderrudder.service;
