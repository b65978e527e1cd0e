/** The supervisor tree: starts parts, restarts them with a back-off and reports their state. */
@NullMarked
package org.redwingladder.supervisor;

import org.jspecify.annotations.NullMarked;
