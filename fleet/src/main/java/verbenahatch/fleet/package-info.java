/** Members, freshness, facts, and the spread of configuration and keys between hosts. */
@NullMarked
package verbenahatch.fleet;

import org.jspecify.annotations.NullMarked;
