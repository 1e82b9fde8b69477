/** Simulated fleet on a manual clock for tests and measurements of shared limits. */
@NullMarked
package verbenahatch.limits.testing;

import org.jspecify.annotations.NullMarked;
