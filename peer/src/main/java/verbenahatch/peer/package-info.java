/** The link between hosts: framing, authentication and correlation of requests with answers. */
@NullMarked
package verbenahatch.peer;

import org.jspecify.annotations.NullMarked;
