/** The data that steering decides on, and the interfaces through which a platform supplies it. */
@NullMarked
package verbenahatch.steering.model;

import org.jspecify.annotations.NullMarked;
