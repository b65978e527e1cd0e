/** At-most-once execution: signed single-use tokens, used token records, idempotency claims. */
@NullMarked
package org.redwingladder.once;

import org.jspecify.annotations.NullMarked;
