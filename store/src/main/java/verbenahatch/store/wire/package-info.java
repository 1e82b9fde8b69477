/** Wire format of the platform's object API, used by the HTTP adapter and the stand-in only. */
@NullMarked
package verbenahatch.store.wire;

import org.jspecify.annotations.NullMarked;
