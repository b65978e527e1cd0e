/**
 * Control plane of an entry host: membership, gossip between zones, replication of settings, polls
 * of the host list and of load reports, and the operator's routes.
 */
@NullMarked
package org.redwingladder.control;

import org.jspecify.annotations.NullMarked;
