/**
 * The request pipeline: client and peer handlers, look-ups, the ingress that routes a request to a
 * site, the site owner that dispatches it to a backend server, and at-most-once work.
 */
@NullMarked
package org.redwingladder.request;

import org.jspecify.annotations.NullMarked;
