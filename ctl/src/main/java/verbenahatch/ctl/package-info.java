/** The command-line tool verbenahatchctl. */
@NullMarked
package verbenahatch.ctl;

import org.jspecify.annotations.NullMarked;
