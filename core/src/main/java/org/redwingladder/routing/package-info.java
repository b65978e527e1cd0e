/** Queue, choice of backend server and dispatch of one site. */
@NullMarked
package org.redwingladder.routing;

import org.jspecify.annotations.NullMarked;
