package org.redwingladder.http;

import io.undertow.util.HeaderMap;

/**
 * A complete response with its body in memory.
 *
 * @param status the HTTP status code
 * @param headers the response headers
 * @param body the body; the receiver must not change it
 */
@SuppressWarnings("ArrayRecordComponent")
public record BufferedResponse(int status, HeaderMap headers, byte[] body) {}
