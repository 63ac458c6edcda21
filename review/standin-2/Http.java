import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 server and client for loopback. */
final class Http {
    private Http() {}

    record Request(String method, String path, Map<String, String> query, byte[] body) {}

    record Reply(int status, byte[] body, Map<String, String> headers) {
        static Reply of(int status, Map<String, ?> body) {
            return new Reply(status, MsgPack.encode(body), Map.of());
        }

        Map<String, Object> map() {
            return MsgPack.map(body);
        }
    }

    interface Handler {
        /** The reply, or null to close the connection without one. */
        Reply answer(Request request) throws Exception;
    }

    /** Serves each connection on a thread of its own. */
    static final class Server {
        final ServerSocket socket;
        private final java.util.Set<Socket> connections = java.util.concurrent.ConcurrentHashMap.newKeySet();

        Server(Handler handler) throws IOException {
            this(0, handler);
        }

        Server(int port, Handler handler) throws IOException {
            socket = new ServerSocket(port, 1000, InetAddress.getByName("127.0.0.1"));
            daemon(
                    () -> {
                        while (!socket.isClosed()) {
                            try {
                                Socket connection = socket.accept();
                                connection.setTcpNoDelay(true);
                                connections.add(connection);
                                daemon(
                                        () -> {
                                            serve(connection, handler);
                                            connections.remove(connection);
                                        });
                            } catch (IOException closed) {
                                return;
                            }
                        }
                    });
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        /** Resets all open connections, as a cut may; new ones are accepted. */
        int reset() {
            int count = 0;
            for (Socket connection : connections) {
                try {
                    connection.setSoLinger(true, 0);
                    connection.close();
                    count++;
                } catch (IOException alreadyClosed) {
                    // Nothing to reset.
                }
            }
            return count;
        }

        void close() {
            closeQuietly(socket);
        }
    }

    static void daemon(Runnable work) {
        Thread thread = new Thread(null, work, "standin", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception ignored) {
            // Nothing to do.
        }
    }

    private static void serve(Socket connection, Handler handler) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            while (true) {
                Message message = read(in);
                if (message == null) {
                    return;
                }
                String[] line = message.first.split(" ");
                String[] target = line[1].split("\\?", 2);
                Map<String, String> query = new TreeMap<>();
                if (target.length > 1) {
                    for (String pair : target[1].split("&")) {
                        String[] parts = pair.split("=", 2);
                        query.put(parts[0], parts.length > 1 ? parts[1] : "");
                    }
                }
                Reply reply = handler.answer(new Request(line[0], target[0], query, message.body));
                if (reply == null) {
                    return;
                }
                out.write(
                        ("HTTP/1.1 " + reply.status + " x\r\nContent-Type: application/msgpack\r\nContent-Length: "
                                        + reply.body.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                out.write(reply.body);
                out.flush();
                if ("close".equalsIgnoreCase(message.headers.get("connection"))) {
                    return;
                }
            }
        } catch (Exception ended) {
            // The peer closed the connection.
        }
    }

    private record Message(String first, Map<String, String> headers, byte[] body) {}

    private static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(), header.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Message(first, headers, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                bytes.write(b);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Sends a request on a new connection; throws if there is no answer in time. */
    static Reply send(String address, String method, String path, Map<String, ?> body, int timeoutMillis)
            throws IOException {
        return sendBytes(address, method, path, body == null ? null : MsgPack.encode(body), timeoutMillis);
    }

    static Reply sendBytes(String address, String method, String path, byte[] body, int timeoutMillis)
            throws IOException {
        long deadline = System.nanoTime() + timeoutMillis * 1_000_000L;
        String[] parts = address.split(":");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), timeoutMillis);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
            String head =
                    method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n"
                            + (body == null
                                    ? ""
                                    : "Content-Type: application/msgpack\r\nContent-Length: " + body.length + "\r\n")
                            + "\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) {
                socket.getOutputStream().write(body);
            }
            socket.getOutputStream().flush();
            Message message = read(new BufferedInputStream(socket.getInputStream()));
            if (message == null) {
                throw new IOException("connection closed");
            }
            return new Reply(Integer.parseInt(message.first.split(" ")[1]), message.body, message.headers);
        }
    }
}
