/** Stand-ins of the platform and of backend servers for tests, the demo and the bench. */
@NullMarked
package org.redwingladder.standin;

import org.jspecify.annotations.NullMarked;
