/** Non-blocking HTTP calls over Undertow's client, and JSON helpers. */
@NullMarked
package org.redwingladder.http;

import org.jspecify.annotations.NullMarked;
