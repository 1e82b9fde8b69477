/** Schedules of releases, their evidence, halting and rollback. */
@NullMarked
package verbenahatch.release;

import org.jspecify.annotations.NullMarked;
