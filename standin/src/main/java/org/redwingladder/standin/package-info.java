/** Stand-ins for the platform and for backend servers with fault injection, and the demo. */
@NullMarked
package org.redwingladder.standin;

import org.jspecify.annotations.NullMarked;
