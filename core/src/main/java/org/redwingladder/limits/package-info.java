/** Caps of a site: rates, requests in flight and bits a second. */
@NullMarked
package org.redwingladder.limits;

import org.jspecify.annotations.NullMarked;
