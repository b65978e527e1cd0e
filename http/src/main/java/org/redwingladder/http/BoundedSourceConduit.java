package org.redwingladder.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits the bytes that a server may send in excess of its response bodies.
 *
 * <p>The parser of the HTTP client neither limits the size of a response head, a chunk header or
 * trailers, nor returns while such bytes keep arriving.
 */
final class BoundedSourceConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** The bytes of one response in excess of its body, and of what was read ahead. */
    static final int MAX_OVERHEAD_BYTES = 128 << 10;

    /** The bytes that may arrive for each byte of a body; a chunk of one byte takes six. */
    private static final int BYTES_PER_BODY_BYTE = 8;

    private long mReceived;
    private long mAllowed = MAX_OVERHEAD_BYTES;

    BoundedSourceConduit(StreamSourceConduit next) {
        super(next);
    }

    /** Allows the bytes of one more response. */
    void startResponse() {
        mAllowed = mReceived + MAX_OVERHEAD_BYTES;
    }

    /** Records bytes of a body, for which further bytes may arrive. */
    void bodyBytesRead(long count) {
        mAllowed += BYTES_PER_BODY_BYTE * count;
    }

    private long received(long count) throws IOException {
        if (count > 0) {
            mReceived += count;
            if (mReceived > mAllowed) {
                throw new InvalidResponseException(
                        "response exceeds "
                                + MAX_OVERHEAD_BYTES
                                + " bytes besides its body; the connection is closed");
            }
        }
        return count;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        return (int) received(next.read(target));
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        return received(next.read(targets, offset, length));
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return received(next.transferTo(position, count, target));
    }

    @Override
    public long transferTo(long count, ByteBuffer through, StreamSinkChannel target)
            throws IOException {
        return received(next.transferTo(count, through, target));
    }
}
