/** Admission control of a site: request rates, requests in flight and link bandwidth. */
@NullMarked
package org.redwingladder.limits;

import org.jspecify.annotations.NullMarked;
