/** Measures the entry path with real connections on loopback, and claims within one process. */
@NullMarked
package verbenahatch.measure.entry;

import org.jspecify.annotations.NullMarked;
