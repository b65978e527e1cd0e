/**
 * Zone rosters, confirmation of owners and the directory of other zones, without any input or
 * output.
 */
@NullMarked
package org.redwingladder.membership;

import org.jspecify.annotations.NullMarked;
