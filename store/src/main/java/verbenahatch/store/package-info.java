/** The platform's object API behind an interface, its errors and its HTTP adapter. */
@NullMarked
package verbenahatch.store;

import org.jspecify.annotations.NullMarked;
