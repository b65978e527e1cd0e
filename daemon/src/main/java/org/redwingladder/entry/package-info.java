/**
 * The entry host: a reverse proxy that routes client requests to backend servers, answers look-ups
 * of entry hosts, gossips with its peers and shuts down gracefully.
 *
 * <p>All of it runs on one I/O thread. The names and formats of the platform are confined to the
 * implementations of {@link org.redwingladder.entry.StoreClient}, {@link
 * org.redwingladder.entry.RowDecoder} and {@link org.redwingladder.entry.WireFormat}.
 */
@NullMarked
package org.redwingladder.entry;

import org.jspecify.annotations.NullMarked;
