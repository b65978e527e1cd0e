/** Look-ups: the assignment of client blocks to sites and entry hosts. */
@NullMarked
package org.redwingladder.lookup;

import org.jspecify.annotations.NullMarked;
