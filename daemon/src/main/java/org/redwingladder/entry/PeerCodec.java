package org.redwingladder.entry;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;

/**
 * Encodes and decodes the messages between entry hosts: JSON, compressed with zlib.
 *
 * <p>The size of gossip messages grows with the number of hosts. Their entries repeat the same
 * names, so that compression reduces them to about a seventh.
 */
final class PeerCodec {
    /** Bounds the memory of a decompressed message; 7,500 hosts and 1,100 sites take less. */
    private static final int MAX_MESSAGE_BYTES = 32 << 20;

    private static final int CHUNK_BYTES = 16 << 10;

    private PeerCodec() {}

    static byte[] encode(Object message) {
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
     * Decodes a message.
     *
     * @throws JsonException if the message is not compressed JSON, exceeds 32 MiB after
     *     decompression or does not match {@code type}
     */
    static <T> T decode(byte[] message, Class<T> type) throws JsonException {
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
                    throw new JsonException("compressed message truncated");
                }
                out.write(chunk, 0, count);
                if (out.size() > MAX_MESSAGE_BYTES) {
                    throw new JsonException(
                            "decompressed message has more than " + MAX_MESSAGE_BYTES + " bytes");
                }
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new JsonException("message is not zlib-compressed: " + e.getMessage());
        } finally {
            inflater.end();
        }
    }
}
