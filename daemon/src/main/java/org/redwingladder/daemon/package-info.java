/** The daemon: configuration, wiring, logs and planned stop. */
@NullMarked
package org.redwingladder.daemon;

import org.jspecify.annotations.NullMarked;
