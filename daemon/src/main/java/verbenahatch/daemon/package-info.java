/** The binary verbenahatchd. */
@NullMarked
package verbenahatch.daemon;

import org.jspecify.annotations.NullMarked;
