/**
 * The entry host that steers by routes: look-ups, forwarding, exchange between hosts, planned stop.
 *
 * <p>All of it runs on one I/O thread. What the platform calls things stays behind {@link
 * org.redwingladder.entry.StoreClient}, {@link org.redwingladder.entry.RowDecoder} and {@link
 * org.redwingladder.entry.WireFormat}.
 */
@NullMarked
package org.redwingladder.entry;

import org.jspecify.annotations.NullMarked;
