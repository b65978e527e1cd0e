/** The daemon process: configuration, wiring of its components, logging, graceful shutdown. */
@NullMarked
package org.redwingladder.daemon;

import org.jspecify.annotations.NullMarked;
