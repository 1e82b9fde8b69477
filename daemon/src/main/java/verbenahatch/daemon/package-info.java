/** The entry host process verbenahatchd. */
@NullMarked
package verbenahatch.daemon;

import org.jspecify.annotations.NullMarked;
