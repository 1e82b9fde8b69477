/** The data path from callers to targets. */
@NullMarked
package verbenahatch.gateway;

import org.jspecify.annotations.NullMarked;
