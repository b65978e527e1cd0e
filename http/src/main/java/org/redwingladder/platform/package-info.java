/** Client of the platform's table, object store and host list. */
@NullMarked
package org.redwingladder.platform;

import org.jspecify.annotations.NullMarked;
