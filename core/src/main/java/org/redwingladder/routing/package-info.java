/** Queueing, load balancing, hedging and outlier ejection of the requests of one site. */
@NullMarked
package org.redwingladder.routing;

import org.jspecify.annotations.NullMarked;
