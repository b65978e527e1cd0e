package org.redwingladder.http;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.xnio.channels.StreamSourceChannel;

/** The body of a request. */
public sealed interface RequestBody {
    /** Returns the length in bytes, a negative value if it is not known in advance. */
    long length();

    /** Returns whether the request can be sent, possibly once more. */
    boolean available();

    /** A complete body in memory, which may be sent several times. */
    final class Held implements RequestBody {
        private final byte[] mBytes;

        private Held(byte[] bytes) {
            mBytes = requireNonNull(bytes);
        }

        /** Creates a body; the caller must not change the bytes. */
        public static Held of(byte[] bytes) {
            return new Held(bytes);
        }

        /** Returns the bytes, which must not be changed. */
        public byte[] bytes() {
            return mBytes;
        }

        @Override
        public long length() {
            return mBytes.length;
        }

        @Override
        public boolean available() {
            return true;
        }
    }

    /** A body of which the first bytes have arrived; the others are read when they can be sent. */
    final class Streamed implements RequestBody {
        /** Callback for the end of the body. At most one method is called, once. */
        public interface SourceListener {
            /** Called when the last byte has been read. */
            void ended();

            /** Called when the sender has disconnected or broke a limit. */
            void failed(IOException cause);
        }

        private final StreamSourceChannel mSource;
        private final long mLength;
        private byte @Nullable [] mPrefix;
        private SourceListener mListener =
                new SourceListener() {
                    @Override
                    public void ended() {}

                    @Override
                    public void failed(IOException cause) {}
                };

        private Streamed(byte[] prefix, StreamSourceChannel source, long length) {
            mPrefix = requireNonNull(prefix);
            mSource = requireNonNull(source);
            mLength = length;
        }

        /**
         * Creates a body.
         *
         * @param prefix the bytes that have been read from {@code source}
         * @param source the rest of the body
         * @param length the length of the whole body, a negative value if it is not known
         */
        public static Streamed of(byte[] prefix, StreamSourceChannel source, long length) {
            return new Streamed(prefix, source, length);
        }

        /** Sets the listener for the end of the body. */
        public void listener(SourceListener listener) {
            mListener = requireNonNull(listener);
        }

        SourceListener listener() {
            return mListener;
        }

        StreamSourceChannel source() {
            return mSource;
        }

        /** Returns the first bytes, once; the body cannot be sent again. */
        byte[] takePrefix() {
            byte[] prefix = mPrefix;
            if (prefix == null) {
                throw new IllegalStateException("the body has been sent");
            }
            mPrefix = null;
            return prefix;
        }

        @Override
        public long length() {
            return mLength;
        }

        @Override
        public boolean available() {
            return mPrefix != null;
        }
    }
}
