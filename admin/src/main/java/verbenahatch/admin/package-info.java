/** The administration API and the endpoints that show the state of a process. */
@NullMarked
package verbenahatch.admin;

import org.jspecify.annotations.NullMarked;
