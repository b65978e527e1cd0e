package org.redwingladder.entry;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.function.BiConsumer;
import org.redwingladder.http.BufferBudget;
import org.redwingladder.http.RequestBody;
import org.xnio.IoUtils;

/** Reads messages of other hosts, whose memory is limited for each and for all together. */
final class PeerMessageReader {
    /** More than the entries of all hosts of the largest deployment. */
    private static final int MAX_MESSAGE_BYTES = 4 << 20;

    private final BufferBudget mBudget = BufferBudget.ofBytes(2L * MAX_MESSAGE_BYTES);

    /** Reads a message; must be called on the exchange's I/O thread, with it dispatched. */
    void read(HttpServerExchange exchange, BiConsumer<HttpServerExchange, byte[]> receiver) {
        RequestBodyReader.read(
                exchange,
                mBudget,
                MAX_MESSAGE_BYTES,
                new RequestBodyReader.Receiver() {
                    @Override
                    public void received(RequestBody body) {
                        switch (body) {
                            case RequestBody.Held held -> receiver.accept(exchange, held.bytes());
                            case RequestBody.Streamed streamed -> reject(503, "no memory");
                        }
                    }

                    @Override
                    public void tooLarge() {
                        reject(413, "message too large");
                    }

                    @Override
                    public void disconnected(IOException cause) {
                        IoUtils.safeClose(exchange.getConnection());
                    }

                    private void reject(int status, String reason) {
                        exchange.setPersistent(false);
                        Responses.text(exchange, status, reason + "\n");
                    }
                });
    }
}
