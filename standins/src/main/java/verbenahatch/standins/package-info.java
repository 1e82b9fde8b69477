/** Stand-ins for the platform, targets and callers, for tests and the quick start. */
@NullMarked
package verbenahatch.standins;

import org.jspecify.annotations.NullMarked;
