package org.meadowhollow.transport;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A small HTTP server on loopback that resets its connections on demand. Thread-safe. */
final class ResettingServer implements AutoCloseable {
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);
    private static final String CONTENT_LENGTH = "content-length:";

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Thread acceptingThread;
    private final Map<Socket, Thread> servingThreads = new ConcurrentHashMap<>();
    private final List<String> receivedMethods = new CopyOnWriteArrayList<>();
    private volatile boolean resetsInsteadOfAnswering;

    ResettingServer() throws IOException {
        acceptingThread = startThread(this::acceptAll);
    }

    private static Thread startThread(Runnable work) {
        Thread thread = new Thread(work, "resetting-server");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** The methods of all requests that have been received in full. */
    List<String> receivedMethods() {
        return List.copyOf(receivedMethods);
    }

    void resetInsteadOfAnswering() {
        resetsInsteadOfAnswering = true;
    }

    /** Resets all open connections; on loopback the other end has the reset when this returns. */
    void resetConnections() {
        servingThreads.forEach(
                (connection, thread) -> {
                    reset(connection);
                    // The system sends the reset once no thread reads from the connection.
                    awaitEnd(thread);
                });
        servingThreads.clear();
    }

    private static void awaitEnd(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    private static void reset(Socket connection) {
        if (connection.isClosed()) {
            return;
        }
        try {
            // Closing with unsent data discarded sends a reset.
            connection.setSoLinger(true, 0);
            connection.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private void acceptAll() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                servingThreads.put(connection, startThread(() -> serve(connection)));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try {
            InputStream in = connection.getInputStream();
            while (true) {
                String requestLine = readLine(in);
                skipHeadersAndBody(in);
                receivedMethods.add(requestLine.substring(0, requestLine.indexOf(' ')));
                if (resetsInsteadOfAnswering) {
                    reset(connection);
                    return;
                }
                connection.getOutputStream().write(RESPONSE);
            }
        } catch (IOException closed) {
            // The connection has ended.
        }
    }

    private static void skipHeadersAndBody(InputStream in) throws IOException {
        int bodyLength = 0;
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            if (line.toLowerCase(Locale.ROOT).startsWith(CONTENT_LENGTH)) {
                bodyLength = Integer.parseInt(line.substring(CONTENT_LENGTH.length()).trim());
            }
        }
        in.skipNBytes(bodyLength);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the connection has ended");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        // The system refuses connections once no thread waits for them.
        awaitEnd(acceptingThread);
        resetConnections();
    }
}
