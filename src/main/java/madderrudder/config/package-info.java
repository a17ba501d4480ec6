/**
 * Reads and validates the two settings files: the platform's (JSON) and the operators' (an
 * S-expression). An error names the invalid value and its location: the path of the field in the
 * JSON file, the line and column in the S-expression.
 */
package madderrudder.config;
