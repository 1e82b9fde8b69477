/** Settings of a host and environment documents, with checks that report every fault. */
@NullMarked
package verbenahatch.model;

import org.jspecify.annotations.NullMarked;
