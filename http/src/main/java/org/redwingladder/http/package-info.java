/** An asynchronous HTTP client with connection pooling, based on Undertow, and JSON helpers. */
@NullMarked
package org.redwingladder.http;

import org.jspecify.annotations.NullMarked;
