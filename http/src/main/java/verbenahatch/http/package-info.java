/** Extensions of the HTTP library that all gateway implementations share. */
@NullMarked
package verbenahatch.http;

import org.jspecify.annotations.NullMarked;
