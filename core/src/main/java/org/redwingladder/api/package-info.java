/** Messages and names that clients, entry hosts, backend servers and operators share. */
@NullMarked
package org.redwingladder.api;

import org.jspecify.annotations.NullMarked;
