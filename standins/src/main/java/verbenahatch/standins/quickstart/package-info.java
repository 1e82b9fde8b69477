/** Commands that send the requests of the quick start and check their results. */
@NullMarked
package verbenahatch.standins.quickstart;

import org.jspecify.annotations.NullMarked;
