/** Drivers that connect membership, zones, host list and load reports to the network. */
@NullMarked
package org.redwingladder.control;

import org.jspecify.annotations.NullMarked;
