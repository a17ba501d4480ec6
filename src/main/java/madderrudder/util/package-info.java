/** Small general-purpose classes that know nothing of the program's domain. */
package madderrudder.util;
