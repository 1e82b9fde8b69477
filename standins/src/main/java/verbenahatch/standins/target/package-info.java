/** A stand-in for a target of a service, with faults that a test can activate. */
@NullMarked
package verbenahatch.standins.target;

import org.jspecify.annotations.NullMarked;
