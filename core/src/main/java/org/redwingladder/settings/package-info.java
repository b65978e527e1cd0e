/**
 * The versioned settings document: its schema and validation, the replica that applies changes in
 * version order, and the division of caps and links into quotas of sites.
 */
@NullMarked
package org.redwingladder.settings;

import org.jspecify.annotations.NullMarked;
