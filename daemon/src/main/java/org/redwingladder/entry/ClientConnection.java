package org.redwingladder.entry;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.ArrayList;
import java.util.List;
import org.redwingladder.limits.TransferAllowance;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * A client's connection: the bytes that it has transferred and what has to be released at the end
 * of its request. Used on the I/O thread only.
 */
final class ClientConnection {
    private final StreamConnection mChannel;
    private final List<Runnable> mEndListeners = new ArrayList<>();
    private final List<Runnable> mCloseListeners = new ArrayList<>();
    private boolean mClosed;
    private final TransferAllowance mReceiving = new TransferAllowance();
    private final TransferAllowance mSending = new TransferAllowance();
    private long mReceived;
    private long mSent;
    private int mPipelined;

    private ClientConnection(StreamConnection channel) {
        mChannel = channel;
    }

    /** Counts the bytes of a connection that was just accepted. */
    static ClientConnection of(StreamConnection channel) {
        ClientConnection connection = new ClientConnection(channel);
        channel.getSourceChannel()
                .setConduit(connection.new CountingSource(channel.getSourceChannel().getConduit()));
        channel.getSinkChannel()
                .setConduit(connection.new CountingSink(channel.getSinkChannel().getConduit()));
        return connection;
    }

    /** Returns the bytes that the client has sent and that have been read. */
    long received() {
        return mReceived;
    }

    /** Returns the bytes that have been passed to the socket. */
    long sent() {
        return mSent;
    }

    /** Begins to limit the time in which the host waits for the body of a request. */
    void startReceiving() {
        mReceiving.restart();
    }

    /** Begins to limit the time in which the host waits for the client to read a response. */
    void startSending() {
        mSending.restart();
    }

    /** Returns whether the client reads a response too slowly. */
    boolean readsTooSlowly(long nowNanos) {
        return mSending.isExceeded(nowNanos);
    }

    /** Returns whether the client sends a body too slowly. */
    boolean sendsTooSlowly(long nowNanos) {
        return mReceiving.isExceeded(nowNanos);
    }

    /** Returns the client's address. */
    String address() {
        return String.valueOf(mChannel.getPeerAddress());
    }

    /** Records whether the next request had arrived before the response to the last one. */
    void requestEnded(boolean nextArrived) {
        mPipelined = nextArrived ? mPipelined + 1 : 0;
        mCloseListeners.clear();
        runAll(mEndListeners);
    }

    /** Returns how many requests in a row have arrived before the response to the one before. */
    int pipelined() {
        return mPipelined;
    }

    /** Adds an action for the end of the request, whether it is answered or the client leaves. */
    void onRequestEnd(Runnable action) {
        add(mEndListeners, action);
    }

    /** Adds an action for the case that the connection is closed before the end of the request. */
    void onClose(Runnable action) {
        add(mCloseListeners, action);
    }

    private void add(List<Runnable> listeners, Runnable action) {
        if (mClosed) {
            action.run();
        } else {
            listeners.add(action);
        }
    }

    /** Ends the request in progress because the connection was closed. */
    void closed() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        runAll(mCloseListeners);
        runAll(mEndListeners);
    }

    private static void runAll(List<Runnable> listeners) {
        List<Runnable> actions = List.copyOf(listeners);
        listeners.clear();
        actions.forEach(Runnable::run);
    }

    void close() {
        IoUtils.safeClose(mChannel);
    }

    private final class CountingSource extends AbstractStreamSourceConduit<StreamSourceConduit> {
        CountingSource(StreamSourceConduit next) {
            super(next);
        }

        private long count(long bytes) {
            if (bytes > 0) {
                mReceived += bytes;
                mReceiving.transferred(bytes, System.nanoTime());
            } else if (bytes == 0) {
                mReceiving.waitBegins(System.nanoTime());
            }
            return bytes;
        }

        @Override
        public int read(ByteBuffer target) throws IOException {
            return (int) count(next.read(target));
        }

        @Override
        public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
            return count(next.read(targets, offset, length));
        }

        @Override
        public long transferTo(long position, long count, FileChannel target) throws IOException {
            return count(next.transferTo(position, count, target));
        }

        @Override
        public long transferTo(long count, ByteBuffer through, StreamSinkChannel target)
                throws IOException {
            return count(next.transferTo(count, through, target));
        }
    }

    private final class CountingSink extends AbstractStreamSinkConduit<StreamSinkConduit> {
        CountingSink(StreamSinkConduit next) {
            super(next);
        }

        private long count(long bytes, boolean blocked) {
            if (bytes > 0) {
                mSent += bytes;
                mSending.transferred(bytes, System.nanoTime());
            }
            if (blocked) {
                mSending.waitBegins(System.nanoTime());
            }
            return bytes;
        }

        private static boolean anyRemaining(ByteBuffer[] buffers, int offset, int length) {
            for (int i = offset; i < offset + length; i++) {
                if (buffers[i].hasRemaining()) {
                    return true;
                }
            }
            return false;
        }

        @Override
        public int write(ByteBuffer source) throws IOException {
            int written = next.write(source);
            return (int) count(written, source.hasRemaining());
        }

        @Override
        public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
            long written = next.write(sources, offset, length);
            return count(written, anyRemaining(sources, offset, length));
        }

        @Override
        public int writeFinal(ByteBuffer source) throws IOException {
            int written = next.writeFinal(source);
            return (int) count(written, source.hasRemaining());
        }

        @Override
        public long writeFinal(ByteBuffer[] sources, int offset, int length) throws IOException {
            long written = next.writeFinal(sources, offset, length);
            return count(written, anyRemaining(sources, offset, length));
        }

        @Override
        public long transferFrom(FileChannel source, long position, long count) throws IOException {
            long written = next.transferFrom(source, position, count);
            return count(written, written == 0);
        }

        @Override
        public long transferFrom(StreamSourceChannel source, long count, ByteBuffer through)
                throws IOException {
            long written = next.transferFrom(source, count, through);
            return count(written, through.hasRemaining());
        }
    }
}
