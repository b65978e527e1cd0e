/** Messages and header names shared by clients, entry hosts, backend servers and operators. */
@NullMarked
package org.redwingladder.api;

import org.jspecify.annotations.NullMarked;
