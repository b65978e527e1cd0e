/** Look-ups: which entry hosts a client block should use. */
@NullMarked
package org.redwingladder.lookup;

import org.jspecify.annotations.NullMarked;
