package org.redwingladder.entry;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;

/**
 * Writes and reads the messages between entry hosts: JSON, compressed with zlib.
 *
 * <p>Answers the load of the exchanges, whose size grows with the number of hosts: the entries of
 * hosts repeat the same names and shrink to about a seventh.
 */
final class PeerCodec {
    /** The largest message after decompression; 7,500 hosts and 1,100 sites take less. */
    private static final int MAX_BYTES = 32 << 20;

    private static final int CHUNK_BYTES = 16 << 10;

    private PeerCodec() {}

    static byte[] write(Object message) {
        byte[] text = Json.write(message);
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(text);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(CHUNK_BYTES);
            byte[] chunk = new byte[Math.min(CHUNK_BYTES, text.length + 64)];
            while (!deflater.finished()) {
                out.write(chunk, 0, deflater.deflate(chunk));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Reads a message.
     *
     * @throws JsonException if it is not compressed JSON, too large, or does not fit {@code type}
     */
    static <T> T read(byte[] message, Class<T> type) throws JsonException {
        return Json.read(inflate(message), type);
    }

    private static byte[] inflate(byte[] message) throws JsonException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(message);
            ByteArrayOutputStream out = new ByteArrayOutputStream(CHUNK_BYTES);
            byte[] chunk = new byte[CHUNK_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(chunk);
                if (count == 0) {
                    throw new JsonException("the compressed message is cut short");
                }
                out.write(chunk, 0, count);
                if (out.size() > MAX_BYTES) {
                    throw new JsonException("the message has more than " + MAX_BYTES + " bytes");
                }
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new JsonException("the message is not compressed: " + e.getMessage());
        } finally {
            inflater.end();
        }
    }
}
