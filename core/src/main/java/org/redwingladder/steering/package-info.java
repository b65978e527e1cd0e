/**
 * Decisions of an entry host about each request: routing, load balancing, load shedding and
 * retries, and the gossip membership of entry hosts on which they depend.
 */
@NullMarked
package org.redwingladder.steering;

import org.jspecify.annotations.NullMarked;
