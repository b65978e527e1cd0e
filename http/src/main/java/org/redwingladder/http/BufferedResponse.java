package org.redwingladder.http;

import io.undertow.util.HeaderMap;

/**
 * Holds an answer with its whole body.
 *
 * @param status the HTTP status code
 * @param headers the answer's headers
 * @param body the body; the receiver must not change it
 */
@SuppressWarnings("ArrayRecordComponent")
public record BufferedResponse(int status, HeaderMap headers, byte[] body) {}
