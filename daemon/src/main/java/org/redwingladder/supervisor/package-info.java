/** Supervision of components: start, restart with exponential back-off, state. */
@NullMarked
package org.redwingladder.supervisor;

import org.jspecify.annotations.NullMarked;
