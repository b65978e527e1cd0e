package org.redwingladder.entry;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.redwingladder.limits.ConnectionPhase;
import org.redwingladder.limits.ConnectionTable;
import org.xnio.ChannelListener;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * The connections that one listener has accepted: limits their number, the requests that a client
 * may send ahead, and the time that it may take to send a body or to read a response. Used on the
 * I/O thread only.
 */
final class ClientConnections {
    /** The requests in a row that a client may send before the response to the one before. */
    static final int MAX_PIPELINED_REQUESTS = 16;

    private static final long CHECK_MILLIS = 1_000;
    private static final AttachmentKey<Tracked> TRACKED = AttachmentKey.create(Tracked.class);

    private final String mListener;
    private final int mMaxConnections;
    private final ConnectionTable<ClientConnection> mTable;
    private final Map<StreamConnection, ClientConnection> mByChannel = new HashMap<>();
    private final XnioIoThread mThread;
    private final EventLog mLog;
    private final EntryMetrics mMetrics;
    private volatile boolean mStopped;

    private record Tracked(ClientConnections connections, ClientConnection connection) {}

    ClientConnections(
            String listener,
            int maxConnections,
            XnioIoThread thread,
            EventLog log,
            EntryMetrics metrics) {
        mListener = listener;
        mMaxConnections = maxConnections;
        mTable = ConnectionTable.ofLimit(maxConnections);
        mThread = thread;
        mLog = log;
        mMetrics = metrics;
    }

    /** Starts the check for clients that are too slow. */
    void start() {
        mStopped = false;
        mThread.executeAfter(this::closeSlow, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Ends the check for clients that are too slow. */
    void stop() {
        mStopped = true;
    }

    /** Returns a listener that admits accepted connections before {@code next} handles them. */
    ChannelListener<StreamConnection> admitting(ChannelListener<StreamConnection> next) {
        return channel -> {
            ClientConnection connection = ClientConnection.of(channel);
            mByChannel.put(channel, connection);
            ClientConnection replaced = mTable.add(connection, System.nanoTime());
            if (replaced != null) {
                abort(replaced, "too-many");
            }
            if (replaced == connection) {
                forget(channel, connection);
                return;
            }
            next.handleEvent(channel);
            ChannelListener<? super StreamConnection> onClose = channel.getCloseListener();
            channel.setCloseListener(
                    closed -> {
                        forget(channel, connection);
                        if (onClose != null) {
                            onClose.handleEvent(closed);
                        }
                    });
            if (!channel.isOpen()) {
                forget(channel, connection);
            }
        };
    }

    private void forget(StreamConnection channel, ClientConnection connection) {
        mByChannel.remove(channel);
        mTable.remove(connection);
        connection.closed();
    }

    private void abort(ClientConnection connection, String reason) {
        mMetrics.count("connection.closed." + reason);
        mLog.event("request", "connection-closed")
                .with("listener", mListener)
                .with("client", connection.address())
                .with("reason", reason)
                .with("received", connection.received())
                .with("sent", connection.sent())
                .with("open", mTable.size())
                .write();
        connection.closed();
        connection.close();
    }

    private void closeSlow() {
        if (mStopped) {
            return;
        }
        long now = System.nanoTime();
        for (ClientConnection connection : mTable.transferring()) {
            if (connection.readsTooSlowly(now)) {
                abort(connection, "reads-too-slowly");
            } else if (mTable.isReceiving(connection) && connection.sendsTooSlowly(now)) {
                abort(connection, "sends-too-slowly");
            }
        }
        mThread.executeAfter(this::closeSlow, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns a handler that records the requests before {@code next} handles them. */
    HttpHandler tracking(HttpHandler next) {
        return exchange -> {
            if (exchange.getConnection() instanceof AbstractServerConnection server) {
                ClientConnection connection = mByChannel.get(server.getChannel());
                if (connection != null) {
                    track(exchange, server, connection);
                }
            }
            next.handleRequest(exchange);
        };
    }

    private void track(
            HttpServerExchange exchange,
            AbstractServerConnection server,
            ClientConnection connection) {
        if (connection.pipelined() >= MAX_PIPELINED_REQUESTS) {
            mMetrics.count("connection.closed.pipelined");
            exchange.setPersistent(false);
        }
        exchange.putAttachment(TRACKED, new Tracked(this, connection));
        connection.startReceiving();
        mTable.enter(
                connection,
                exchange.isRequestComplete()
                        ? new ConnectionPhase.Working()
                        : new ConnectionPhase.Receiving(System.nanoTime()));
        exchange.addResponseCommitListener(
                same -> {
                    connection.startSending();
                    // The rest of a body is read and dropped after the response.
                    if (same.isRequestComplete()) {
                        mTable.enter(connection, new ConnectionPhase.Sending());
                    }
                });
        exchange.addExchangeCompleteListener(
                (same, proceed) -> {
                    if (server.isOpen()) {
                        mTable.enter(connection, new ConnectionPhase.Idle());
                        connection.requestEnded(server.getExtraBytes() != null);
                    } else {
                        connection.closed();
                    }
                    proceed.proceed();
                });
    }

    /** Records that the body of a request has arrived. */
    static void bodyReceived(HttpServerExchange exchange) {
        Tracked tracked = exchange.getAttachment(TRACKED);
        if (tracked != null && !exchange.isResponseStarted()) {
            tracked.connections.mTable.enter(tracked.connection, new ConnectionPhase.Working());
        }
    }

    /** Adds an action for the end of a request, whether it is answered or the client leaves. */
    static void onRequestEnd(HttpServerExchange exchange, Runnable action) {
        Tracked tracked = exchange.getAttachment(TRACKED);
        if (tracked != null) {
            tracked.connection.onRequestEnd(action);
            return;
        }
        exchange.addExchangeCompleteListener(
                (same, proceed) -> {
                    action.run();
                    proceed.proceed();
                });
    }

    /** Adds an action for the case that the connection is closed before the end of the request. */
    static void onClose(HttpServerExchange exchange, Runnable action) {
        Tracked tracked = exchange.getAttachment(TRACKED);
        if (tracked != null) {
            tracked.connection.onClose(action);
        }
    }

    /** Returns the most connections that stay open. */
    int maxConnections() {
        return mMaxConnections;
    }

    /** Returns the number of open connections. */
    int size() {
        return mTable.size();
    }
}
