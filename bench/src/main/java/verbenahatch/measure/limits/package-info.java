/** Measurements of shared limits against two baselines. */
@NullMarked
package verbenahatch.measure.limits;

import org.jspecify.annotations.NullMarked;
