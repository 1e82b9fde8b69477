/**
 * Plug-in contract, start order, resource clean-up, numbered events and state dumps.
 *
 * <p>Every other package of the workspace builds on these types.
 */
@NullMarked
package verbenahatch.kernel;

import org.jspecify.annotations.NullMarked;
