/** General-purpose classes that do not depend on any other package of the project. */
package madderrudder.util;
