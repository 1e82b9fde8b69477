/** The link between hosts: framing, authentication and correlation of requests with responses. */
@NullMarked
package verbenahatch.peer;

import org.jspecify.annotations.NullMarked;
