/** An interface to the platform's object API, its errors and an HTTP implementation. */
@NullMarked
package verbenahatch.store;

import org.jspecify.annotations.NullMarked;
