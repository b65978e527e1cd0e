/** Decisions of an entry host that steers by routes: routing, placement, retries, membership. */
@NullMarked
package org.redwingladder.steering;

import org.jspecify.annotations.NullMarked;
