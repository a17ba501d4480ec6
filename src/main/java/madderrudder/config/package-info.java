/**
 * The two settings files: the platform's (JSON) and the operators' (an S-expression). Each is read
 * and checked in one place, and a mistake is reported with the value that was wrong and where it
 * stands.
 */
package madderrudder.config;
