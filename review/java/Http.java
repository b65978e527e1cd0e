package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from blocking streams. */
final class Http {
    private Http() {}

    /** The first line and the headers of a message; header names are in lower case. */
    record Head(String line, Map<String, String> headers) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }
    }

    /** A complete message. */
    record Message(Head head, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a head, or returns null if the stream ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in, true);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String next = readLine(in, false); !next.isEmpty(); next = readLine(in, false)) {
            int colon = next.indexOf(':');
            headers.put(
                    next.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    next.substring(colon + 1).trim());
        }
        return new Head(line, headers);
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended in a head");
            }
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            line.write(next);
        }
    }

    /** Reads a body with a length or in chunks. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
                if (size == 0) {
                    while (!readLine(in, false).isEmpty()) {
                        // Skips trailers.
                    }
                    return body.toByteArray();
                }
                body.write(exactly(in, size));
                readLine(in, false);
            }
        }
        String length = head.header("Content-Length");
        return length == null ? new byte[0] : exactly(in, Integer.parseInt(length));
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length != count) {
            throw new EOFException("got " + bytes.length + " of " + count + " bytes of a body");
        }
        return bytes;
    }
}
