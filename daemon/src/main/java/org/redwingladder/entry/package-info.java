/**
 * The entry host that steers by routes: look-ups, forwarding, exchange between hosts, planned stop.
 *
 * <p>All of it runs on one I/O thread. What the platform calls things stays behind {@link
 * org.redwingladder.entry.PlatformStore}, {@link org.redwingladder.entry.RowCodec} and {@link
 * org.redwingladder.entry.WireFormat}.
 */
@NullMarked
package org.redwingladder.entry;

import org.jspecify.annotations.NullMarked;
