/** Several release nodes on an in-memory network, for tests and measurements. */
@NullMarked
package verbenahatch.release.testing;

import org.jspecify.annotations.NullMarked;
