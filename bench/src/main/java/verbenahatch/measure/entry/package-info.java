/** Measures the entry path and claims with real connections on loopback. */
@NullMarked
package verbenahatch.measure.entry;

import org.jspecify.annotations.NullMarked;
