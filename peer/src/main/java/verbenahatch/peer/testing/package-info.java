/**
 * In-memory peer links under a manually advanced clock, for tests and measurements of other
 * modules.
 */
@NullMarked
package verbenahatch.peer.testing;

import org.jspecify.annotations.NullMarked;
