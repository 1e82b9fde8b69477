/** Steers requests on a fleet whose only shared service is the platform's store. */
@NullMarked
package verbenahatch.steering;

import org.jspecify.annotations.NullMarked;
