/** Additions to the HTTP library that every gateway of the product shares. */
@NullMarked
package verbenahatch.http;

import org.jspecify.annotations.NullMarked;
