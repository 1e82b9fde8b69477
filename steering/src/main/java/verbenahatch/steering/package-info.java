/** Routes requests on a fleet of hosts whose only shared service is the store of the platform. */
@NullMarked
package verbenahatch.steering;

import org.jspecify.annotations.NullMarked;
