/** The command-line tool {@code redwingladder} and its load client. */
@NullMarked
package org.redwingladder.tool;

import org.jspecify.annotations.NullMarked;
