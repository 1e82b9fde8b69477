/** A stand-in for a service's instance, with faults that a test can switch on. */
@NullMarked
package verbenahatch.standins.target;

import org.jspecify.annotations.NullMarked;
