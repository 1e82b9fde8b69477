/** Explains the outcome of a request from the hosts' log lines. */
@NullMarked
package verbenahatch.ctl.explain;

import org.jspecify.annotations.NullMarked;
