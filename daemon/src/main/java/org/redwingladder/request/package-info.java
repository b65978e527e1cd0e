/** The request path: client listener, look-up endpoint, ingress, site owners, run-once work. */
@NullMarked
package org.redwingladder.request;

import org.jspecify.annotations.NullMarked;
