import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 over plain sockets, for stand-ins and for clients. */
final class Wire {

    private Wire() {}

    /** A request or an answer that was read. */
    static final class Message {
        String first;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean complete = true;

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        String path() {
            return target().split("\\?", 2)[0];
        }

        String query(String name) {
            String[] parts = target().split("\\?", 2);
            if (parts.length < 2) {
                return null;
            }
            for (String pair : parts[1].split("&")) {
                if (pair.startsWith(name + "=")) {
                    return pair.substring(name.length() + 1);
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Serves the requests of one connection, one at a time. */
    interface Handler {
        /** Answers a request; returns false to close the connection. */
        boolean handle(Message request, Socket connection, OutputStream out) throws Exception;
    }

    /** A server with a thread for each connection. */
    static final class Server implements Closeable {
        final ServerSocket socket;
        final String address;

        Server(String name, Handler handler) throws IOException {
            socket = new ServerSocket();
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
            address = "127.0.0.1:" + socket.getLocalPort();
            thread(name, () -> {
                while (!socket.isClosed()) {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    thread(name + "-connection", () -> serve(connection, handler));
                }
            });
        }

        private static void serve(Socket connection, Handler handler) throws Exception {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream(), 65536);
                OutputStream out = connection.getOutputStream();
                while (true) {
                    Message request = read(in, false);
                    if (request == null || !handler.handle(request, connection, out)) {
                        return;
                    }
                }
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A task that may throw. */
    interface Task {
        void run() throws Exception;
    }

    static Thread thread(String name, Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (Exception ignored) {
                        // The connection or the server was closed.
                    }
                },
                name,
                256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads a message, or null at the end of the connection. */
    static Message read(InputStream in, boolean answer) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Message message = new Message();
        message.first = first;
        while (true) {
            String line = line(in);
            if (line == null) {
                throw new EOFException("within the headers");
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        if (answer && message.status() == 100) {
            return read(in, true);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                String sizeLine = line(in);
                if (sizeLine == null) {
                    throw new EOFException("within the body");
                }
                int size = Integer.parseInt(sizeLine.split(";")[0].trim(), 16);
                if (size == 0) {
                    while (!"".equals(line(in))) {
                        // Trailers are ignored.
                    }
                    break;
                }
                body.write(exactly(in, size));
                line(in);
            }
        } else if (!message.header("content-length").isEmpty()) {
            body.write(exactly(in, Integer.parseInt(message.header("content-length"))));
        }
        message.body = body.toByteArray();
        return message;
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("within the body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("within a line");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    /** Writes an answer with a length. */
    static void answer(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    static void json(OutputStream out, int status, Object document) throws IOException {
        answer(out, status, "Content-Type: application/json\r\n", Json.write(document).getBytes(StandardCharsets.UTF_8));
    }

    /** The outcome of a client's call: an answer, or why there is none. */
    record Outcome(Message answer, String failure, long millis) {
        int status() {
            return answer == null ? -1 : answer.status();
        }

        @Override
        public String toString() {
            return (answer == null ? "no answer (" + failure + ")" : "status " + status()) + " after " + millis + " ms";
        }
    }

    /** Sends one request on a new connection. */
    static Outcome call(String address, String method, String target, String headers, byte[] body, int timeoutMillis) {
        long start = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(parse(address), 1000);
            socket.setSoTimeout(timeoutMillis);
            return send(socket, method, target, headers, body, start);
        } catch (IOException exception) {
            return new Outcome(null, exception.toString(), (System.nanoTime() - start) / 1_000_000);
        }
    }

    /** Sends one request on an open connection. */
    static Outcome send(Socket socket, String method, String target, String headers, byte[] body, long start) {
        try {
            String head = method + " " + target + " HTTP/1.1\r\n" + headers
                    + (body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "")
                    + "\r\n";
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            socket.getOutputStream().write(all.toByteArray());
            Message answer = read(new BufferedInputStream(socket.getInputStream()), true);
            return new Outcome(answer, "the connection ended without an answer", (System.nanoTime() - start) / 1_000_000);
        } catch (IOException exception) {
            return new Outcome(null, exception.toString(), (System.nanoTime() - start) / 1_000_000);
        }
    }

    static InetSocketAddress parse(String address) {
        String[] parts = address.split(":");
        return new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
    }
}
