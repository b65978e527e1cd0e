package org.redwingladder.http;

import java.util.List;

/** How the end of a response body is determined, RFC 9112 section 6.3. */
sealed interface BodyFraming {
    /** A body of a known length in bytes. */
    record Fixed(long bytes) implements BodyFraming {}

    /** A body with chunked transfer encoding. */
    record Chunked() implements BodyFraming {}

    /** A body that ends with its connection. */
    record UntilClose() implements BodyFraming {}

    /** Returns whether a response with this status never has a body. */
    static boolean isBodiless(int status) {
        return status < 200 || status == 204 || status == 304;
    }

    /**
     * Returns the framing of a response.
     *
     * @param headRequest whether the request's method is HEAD
     * @param lengths the values of all Content-Length fields
     * @param encodings the values of all Transfer-Encoding fields
     * @throws InvalidResponseException if the fields are malformed or contradict each other or the
     *     status
     */
    static BodyFraming of(
            int status, boolean headRequest, List<String> lengths, List<String> encodings)
            throws InvalidResponseException {
        if (!lengths.isEmpty() && !encodings.isEmpty()) {
            throw new InvalidResponseException(
                    "response has both Content-Length and Transfer-Encoding");
        }
        if (lengths.size() > 1 || encodings.size() > 1) {
            throw new InvalidResponseException("response delimits its body several times");
        }
        if (!encodings.isEmpty()) {
            return ofEncoding(encodings.get(0), status, headRequest);
        }
        long length = lengths.isEmpty() ? 0 : parseLength(lengths.get(0));
        if (length > 0 && (status < 200 || status == 204)) {
            throw new InvalidResponseException("response with status " + status + " has a body");
        }
        if (headRequest || isBodiless(status)) {
            return new Fixed(0);
        }
        return lengths.isEmpty() ? new UntilClose() : new Fixed(length);
    }

    private static BodyFraming ofEncoding(String encoding, int status, boolean headRequest)
            throws InvalidResponseException {
        if (!encoding.equalsIgnoreCase("chunked")) {
            throw new InvalidResponseException("response has an unknown Transfer-Encoding");
        }
        if (status < 200 || status == 204) {
            throw new InvalidResponseException("response with status " + status + " has a body");
        }
        return headRequest || isBodiless(status) ? new Fixed(0) : new Chunked();
    }

    private static long parseLength(String text) throws InvalidResponseException {
        boolean digits = !text.isEmpty() && text.chars().allMatch(c -> c >= '0' && c <= '9');
        try {
            if (digits) {
                return Long.parseLong(text);
            }
        } catch (NumberFormatException e) {
            // A number beyond 64 bits is rejected like any other text.
        }
        throw new InvalidResponseException("response has a malformed Content-Length");
    }
}
