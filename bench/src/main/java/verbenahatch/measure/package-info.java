/** Measurements against the project's own baselines. */
@NullMarked
package verbenahatch.measure;

import org.jspecify.annotations.NullMarked;
