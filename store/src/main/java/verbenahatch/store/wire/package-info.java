/** Wire format of the platform's object API, used only by the HTTP store and the stand-in. */
@NullMarked
package verbenahatch.store.wire;

import org.jspecify.annotations.NullMarked;
