/** Allocates the rates of workspaces among the hosts that admit requests. */
@NullMarked
package verbenahatch.steering.quota;

import org.jspecify.annotations.NullMarked;
