/** Budget and decision for attempts after the first. */
@NullMarked
package org.redwingladder.retry;

import org.jspecify.annotations.NullMarked;
