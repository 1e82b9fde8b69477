/** The administration API and the endpoints for state, metrics and health checks of a host. */
@NullMarked
package verbenahatch.admin;

import org.jspecify.annotations.NullMarked;
