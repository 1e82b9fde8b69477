/** The caller of the quick start. */
@NullMarked
package verbenahatch.standins.quickstart;

import org.jspecify.annotations.NullMarked;
