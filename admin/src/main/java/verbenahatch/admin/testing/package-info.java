/** A host without peers for tests of the administration API and of its clients. */
@NullMarked
package verbenahatch.admin.testing;

import org.jspecify.annotations.NullMarked;
