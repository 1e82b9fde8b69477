/** In-memory peer links with manual time, for tests and measurements of other modules. */
@NullMarked
package verbenahatch.peer.testing;

import org.jspecify.annotations.NullMarked;
