/** Simulated fleet on manual time for tests and measurements of shared limits. */
@NullMarked
package verbenahatch.limits.testing;

import org.jspecify.annotations.NullMarked;
