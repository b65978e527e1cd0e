/** Benchmarks of the policy, the look-up and the capacity. */
@NullMarked
package org.redwingladder.bench;

import org.jspecify.annotations.NullMarked;
