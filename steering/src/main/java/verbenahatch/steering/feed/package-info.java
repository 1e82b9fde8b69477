/** Follows the feeds of the platform's store, directly or through another host that reads them. */
@NullMarked
package verbenahatch.steering.feed;

import org.jspecify.annotations.NullMarked;
