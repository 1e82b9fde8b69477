/** Simulates hosts, targets and callers with the production classes of routing. */
@NullMarked
package verbenahatch.measure.routing;

import org.jspecify.annotations.NullMarked;
