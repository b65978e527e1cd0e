import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages on blocking sockets. */
final class Http {
    private Http() {}

    /** The first line, the headers with names in lower case, and the body of a message. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a message, or returns null if the connection ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String start = line(in, true);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String field = line(in, false); !field.isEmpty(); field = line(in, false)) {
            int colon = field.indexOf(':');
            headers.put(
                    field.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).trim());
        }
        byte[] body;
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
                all.write(exactly(in, size));
                line(in, false);
                if (size == 0) {
                    break;
                }
            }
            body = all.toByteArray();
        } else {
            String length = headers.get("content-length");
            body = exactly(in, length == null ? 0 : Integer.parseInt(length));
        }
        return new Message(start, headers, body);
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("message truncated: got " + bytes.length + " of " + count);
        }
        return bytes;
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (mayEnd && bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("connection closed within a message");
            }
            if (b != '\r') {
                bytes.write(b);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Writes a message in one call; {@code headers} are whole lines that end with CR LF. */
    static void write(OutputStream out, String start, String headers, byte[] body)
            throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        String head = start + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        all.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Closes a socket with a reset, as the end of a process does with unread bytes. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The socket is closed already.
        }
    }
}
