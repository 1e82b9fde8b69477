/** Admission under limits whose totals are allocated among the hosts of the fleet. */
@NullMarked
package verbenahatch.limits;

import org.jspecify.annotations.NullMarked;
