/**
 * Plug-in interface, start order, resource clean-up, numbered events and state dumps.
 *
 * <p>Most other modules build on these types.
 */
@NullMarked
package verbenahatch.kernel;

import org.jspecify.annotations.NullMarked;
