package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A client with one connection that it keeps open. */
final class Client implements AutoCloseable {
    static final String HOST = "jepu9.example";

    private static final AtomicInteger IDS = new AtomicInteger();

    /**
     * The end of one attempt.
     *
     * @param status the status, or 0 without a complete answer
     * @param end what ended an attempt without an answer
     */
    record Result(String id, int status, String end, long millis) {}

    private final int mPort;
    private final Record mRecord;
    private Socket mSocket;
    private InputStream mIn;
    private long mBodyMillis;

    Client(int port, Record record) {
        mPort = port;
        mRecord = record;
    }

    /** Sends a request and waits for its answer, at most for a time. */
    Result send(
            String method, String path, String key, byte[] body, long deadlineMillis, long waitMillis) {
        String id = String.format("%016x", 0x5eed0000L + IDS.incrementAndGet());
        long sent = System.nanoTime();
        Http.Message answer = null;
        String end = "";
        try {
            if (mSocket == null) {
                mSocket = new Socket();
                mSocket.connect(new InetSocketAddress("127.0.0.1", mPort), 1000);
                mSocket.setTcpNoDelay(true);
                mIn = new BufferedInputStream(mSocket.getInputStream());
            }
            mSocket.setSoTimeout((int) waitMillis);
            String head =
                    method
                            + " "
                            + path
                            + " HTTP/1.1\r\nHost: "
                            + HOST
                            + "\r\nRequest-Id: "
                            + id
                            + (key == null ? "" : "\r\nAffinity-Key: " + key)
                            + "\r\nDeadline-Ms: "
                            + deadlineMillis
                            + (body == null ? "" : "\r\nContent-Length: " + body.length)
                            + "\r\n\r\n";
            OutputStream out = mSocket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.UTF_8));
            if (body != null) {
                writeBody(out, body);
            }
            out.flush();
            Http.Head answerHead = Http.readHead(mIn);
            if (answerHead == null) {
                end = "closed without an answer";
            } else {
                answer = new Http.Message(answerHead, Http.readBody(mIn, answerHead));
            }
        } catch (SocketTimeoutException e) {
            end = "no answer within " + waitMillis + " ms";
        } catch (IOException e) {
            end = "connection ended: " + e.getMessage();
        }
        long millis = (System.nanoTime() - sent) / 1_000_000;
        Result result = new Result(id, answer == null ? 0 : answer.head().status(), end, millis);
        mRecord.line(
                "client sent %s %s %s (%d bytes): %s after %d ms",
                id,
                method,
                path,
                body == null ? 0 : body.length,
                answer == null
                        ? end
                        : result.status()
                                + (answer.head().header("Server-Stamp") == null
                                        ? " of the host '" + answer.text().strip() + "'"
                                        : " of a worker"),
                millis);
        if (answer == null || "close".equalsIgnoreCase(answer.head().header("Connection"))) {
            close();
        }
        return result;
    }

    /** Paces the body so that it takes the given time; 0 sends it at once. */
    Client bodyMillis(long millis) {
        mBodyMillis = millis;
        return this;
    }

    private void writeBody(OutputStream out, byte[] body) throws IOException {
        long start = System.nanoTime();
        int piece = mBodyMillis == 0 ? body.length : 64 * 1024;
        for (int at = 0; at < body.length; at += piece) {
            out.write(body, at, Math.min(piece, body.length - at));
            long due = start + (long) (1e6 * mBodyMillis * at / body.length);
            long wait = (due - System.nanoTime()) / 1_000_000;
            if (wait > 0) {
                try {
                    Thread.sleep(wait);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        }
    }

    @Override
    public void close() {
        try {
            if (mSocket != null) {
                mSocket.close();
            }
        } catch (IOException e) {
            // The connection has ended in any case.
        }
        mSocket = null;
    }
}
