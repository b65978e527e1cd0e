/** Work that must not repeat: signed tokens, their ledger, and idempotency claims. */
@NullMarked
package org.redwingladder.once;

import org.jspecify.annotations.NullMarked;
