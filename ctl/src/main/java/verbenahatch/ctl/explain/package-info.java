/** Explains a request afterwards from the log lines of the hosts. */
@NullMarked
package verbenahatch.ctl.explain;

import org.jspecify.annotations.NullMarked;
