package org.redwingladder.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Opens connections whose incoming bytes are checked by a {@link ResponseSourceConduit}.
 *
 * <p>Undertow's client opens its connections through an I/O thread and offers no other way to
 * insert a conduit. This object stands in for the I/O thread while a connection is opened; it never
 * runs as a thread.
 */
final class BoundedConnector extends XnioIoThread {
    private final XnioIoThread mThread;
    private @Nullable ResponseSourceConduit mOpened;

    BoundedConnector(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        mThread = thread;
    }

    /**
     * Returns the conduit of the connection that is being handed over by Undertow's client. Must be
     * called on the I/O thread, within the callback of the connect call.
     */
    ResponseSourceConduit openedConduit() {
        if (mOpened == null) {
            throw new IllegalStateException("no connection is being handed over");
        }
        return mOpened;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination,
            ChannelListener<? super StreamConnection> openListener,
            OptionMap options) {
        return mThread.openStreamConnection(
                destination,
                connection -> {
                    mOpened =
                            new ResponseSourceConduit(
                                    new BoundedSourceConduit(
                                            connection.getSourceChannel().getConduit()));
                    connection.getSourceChannel().setConduit(mOpened);
                    try {
                        openListener.handleEvent(connection);
                    } finally {
                        mOpened = null;
                    }
                },
                options);
    }

    @Override
    public void execute(Runnable command) {
        mThread.execute(command);
    }

    @Override
    public Key executeAfter(Runnable command, long time, TimeUnit unit) {
        return mThread.executeAfter(command, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
        return mThread.executeAtInterval(command, time, unit);
    }
}
