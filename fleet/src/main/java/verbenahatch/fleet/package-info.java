/** Members, freshness, facts, and the replication of configuration and keys between hosts. */
@NullMarked
package verbenahatch.fleet;

import org.jspecify.annotations.NullMarked;
