/** Shares of the limits that hosts divide among themselves. */
@NullMarked
package verbenahatch.limits;

import org.jspecify.annotations.NullMarked;
