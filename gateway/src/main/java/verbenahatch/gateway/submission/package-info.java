/**
 * Ensures that a submission runs at most once, by a ticket that one host issued or by a claim in
 * the store.
 *
 * <p>A granted claim is never granted to another request, unless its holder reports that the
 * submission certainly did not run.
 */
@NullMarked
package verbenahatch.gateway.submission;

import org.jspecify.annotations.NullMarked;
