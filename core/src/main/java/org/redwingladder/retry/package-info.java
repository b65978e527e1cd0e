/** Retry decisions and retry budget of the ingress. */
@NullMarked
package org.redwingladder.retry;

import org.jspecify.annotations.NullMarked;
