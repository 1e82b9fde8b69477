/** Settings of a host and the document of an environment, with checks that list every fault. */
@NullMarked
package verbenahatch.model;

import org.jspecify.annotations.NullMarked;
