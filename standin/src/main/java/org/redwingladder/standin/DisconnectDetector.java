package org.redwingladder.standin;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.IoUtils;

/**
 * Detects that a client has disconnected while its request is in flight, and closes the connection.
 *
 * <p>Undertow suspends reads between the end of a request and its response, so it does not detect
 * the end of the stream. This reads from the underlying connection meanwhile; bytes of a pipelined
 * request are pushed back.
 */
final class DisconnectDetector {
    private DisconnectDetector() {}

    /**
     * Starts monitoring the connection of a request that has been read completely; called on its
     * I/O thread.
     */
    static void start(HttpServerExchange exchange) {
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)
                || connection.getExtraBytes() != null) {
            return;
        }
        connection.getChannel().getSourceChannel().setReadListener(c -> onReadable(connection));
        connection.getOriginalSourceConduit().resumeReads();
    }

    private static void onReadable(HttpServerConnection connection) {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean returned = false;
        try {
            int read = connection.getOriginalSourceConduit().read(pooled.getBuffer());
            if (read < 0) {
                IoUtils.safeClose(connection);
            } else if (read > 0) {
                connection.getOriginalSourceConduit().suspendReads();
                pooled.getBuffer().flip();
                connection.ungetRequestBytes(pooled);
                returned = true;
            }
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        } finally {
            if (!returned) {
                pooled.close();
            }
        }
    }
}
