package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy before the store; while it is cut, connections are reset and refused. */
final class FlakyLink implements AutoCloseable {
    private final String mTarget;
    private final int mPort;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private ServerSocket mServer;

    FlakyLink(String target) throws IOException {
        mTarget = target;
        mServer = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        mPort = mServer.getLocalPort();
        listen(mServer);
    }

    String address() {
        return "127.0.0.1:" + mPort;
    }

    void cut() throws IOException {
        mServer.close();
        mOpen.forEach(FlakyLink::reset);
        mOpen.clear();
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The connection has ended already.
        }
    }

    void heal() throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), mPort), 256);
        mServer = server;
        listen(server);
    }

    private void listen(ServerSocket server) {
        Thread.ofVirtual()
                .start(
                        () -> {
                            try {
                                while (true) {
                                    connect(server.accept());
                                }
                            } catch (IOException e) {
                                // The link is cut.
                            }
                        });
    }

    private void connect(Socket near) {
        Socket far = new Socket();
        try {
            int colon = mTarget.indexOf(':');
            far.connect(
                    new InetSocketAddress(
                            mTarget.substring(0, colon),
                            Integer.parseInt(mTarget.substring(colon + 1))));
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            mOpen.add(near);
            mOpen.add(far);
            Thread.ofVirtual().start(() -> copy(near, far));
            Thread.ofVirtual().start(() -> copy(far, near));
        } catch (IOException e) {
            reset(near);
            reset(far);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException e) {
            // One side has closed the connection.
        }
        reset(from);
        reset(to);
        mOpen.remove(from);
        mOpen.remove(to);
    }

    @Override
    public void close() throws IOException {
        cut();
    }
}
