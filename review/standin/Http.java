package review;

import java.io.ByteArrayOutputStream;
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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on the loopback address. */
final class Http {

    private Http() {}

    /** A request. Header names are in lower case. */
    record Request(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** An answer. Header names are in lower case. */
    record Answer(int status, Map<String, String> headers, byte[] body) {

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** Handles one request. Returns false if the connection must be closed. */
    interface Handler {
        boolean handle(Request request, OutputStream output, Socket socket) throws IOException, InterruptedException;
    }

    /** A server with one thread for each connection. */
    static final class Server implements AutoCloseable {

        private final ServerSocket socket;
        private final Handler handler;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

        Server(int port, Handler handler) throws IOException {
            this.handler = handler;
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
            start("accept-" + port, this::accept);
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        int port() {
            return socket.getLocalPort();
        }

        @Override
        public void close() {
            closeQuietly(socket);
            connections.forEach(Http::closeQuietly);
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    connections.add(connection);
                    start("serve", () -> serve(connection));
                } catch (IOException exception) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream input = new java.io.BufferedInputStream(connection.getInputStream(), 16384);
                OutputStream output = connection.getOutputStream();
                Request request = readRequest(input);
                while (request != null && handler.handle(request, output, connection)) {
                    output.flush();
                    request = readRequest(input);
                }
            } catch (IOException | InterruptedException exception) {
                // The peer has gone, or the process ends.
            } finally {
                connections.remove(connection);
            }
        }
    }

    static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception exception) {
            // It is of no further use.
        }
    }

    static void respond(OutputStream output, int status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        output.write(all.toByteArray());
        output.flush();
    }

    /** Sends a request on a new connection. Returns null if there is no whole answer. */
    static Answer call(
            String address, String method, String target, Map<String, String> headers, byte[] body, int timeoutMillis) {
        int colon = address.indexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(
                            InetAddress.getByName("127.0.0.1"), Integer.parseInt(address.substring(colon + 1))),
                    Math.min(1000, timeoutMillis));
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("\r\n");
            OutputStream output = socket.getOutputStream();
            output.write(head.toString().getBytes(StandardCharsets.UTF_8));
            output.write(body);
            output.flush();
            return readAnswer(new java.io.BufferedInputStream(socket.getInputStream()));
        } catch (IOException exception) {
            return null;
        }
    }

    private static Request readRequest(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) {
            return null;
        }
        String[] parts = line.split(" ", -1);
        Map<String, String> headers = readHeaders(input);
        byte[] body = readBody(input, headers, false);
        int question = parts[1].indexOf('?');
        Map<String, String> query = new LinkedHashMap<>();
        if (question >= 0) {
            for (String pair : parts[1].substring(question + 1).split("&", -1)) {
                int equals = pair.indexOf('=');
                query.put(equals < 0 ? pair : pair.substring(0, equals), equals < 0 ? "" : pair.substring(equals + 1));
            }
        }
        return new Request(parts[0], question < 0 ? parts[1] : parts[1].substring(0, question), query, headers, body);
    }

    static Answer readAnswer(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) {
            throw new IOException("no answer");
        }
        Map<String, String> headers = readHeaders(input);
        return new Answer(Integer.parseInt(line.split(" ", -1)[1]), headers, readBody(input, headers, true));
    }

    private static Map<String, String> readHeaders(InputStream input) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        String line = readLine(input);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
            line = readLine(input);
        }
        return headers;
    }

    private static byte[] readBody(InputStream input, Map<String, String> headers, boolean answer) throws IOException {
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            byte[] body = input.readNBytes(length);
            if (body.length < length) {
                throw new IOException("the body broke off");
            }
            return body;
        }
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int length = Integer.parseInt(readLine(input).trim(), 16);
            while (length > 0) {
                body.write(input.readNBytes(length));
                readLine(input);
                length = Integer.parseInt(readLine(input).trim(), 16);
            }
            readLine(input);
            return body.toByteArray();
        }
        return new byte[0];
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = input.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = input.read();
        }
        return line.toString(StandardCharsets.UTF_8);
    }
}
