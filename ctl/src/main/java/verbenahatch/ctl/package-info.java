/** The binary verbenahatchctl. */
@NullMarked
package verbenahatch.ctl;

import org.jspecify.annotations.NullMarked;
