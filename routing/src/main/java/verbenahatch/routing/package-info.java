/** Choice of region and target, fair queueing, retry budgets and entry advice. */
@NullMarked
package verbenahatch.routing;

import org.jspecify.annotations.NullMarked;
