/**
 * The membership protocol of an availability zone: rosters, quorum leases of site owners, failure
 * detection, site hand-over and the directory of other zones. Performs no input or output.
 */
@NullMarked
package org.redwingladder.membership;

import org.jspecify.annotations.NullMarked;
