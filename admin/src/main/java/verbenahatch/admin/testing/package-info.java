/** Test support: a host without peers, for tests of the administration API and its clients. */
@NullMarked
package verbenahatch.admin.testing;

import org.jspecify.annotations.NullMarked;
