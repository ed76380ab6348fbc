import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 server and client for the stand-ins: bodies with a length, one thread for each connection. */
final class Wire {

    static final ObjectMapper JSON = new ObjectMapper();

    private Wire() {}

    record Request(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    record Answer(int status, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Answers a request on its connection. Returns whether the connection may be kept. */
    interface Handler {
        boolean handle(Request request, Socket socket, OutputStream output) throws Exception;
    }

    /** Listens on a free port of the loopback address. */
    static final class Server implements AutoCloseable {
        private final ServerSocket socket;

        Server(Handler handler) throws IOException {
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
            daemon(() -> {
                while (!socket.isClosed()) {
                    try {
                        Socket accepted = socket.accept();
                        daemon(() -> serve(accepted, handler));
                    } catch (IOException exception) {
                        return;
                    }
                }
            });
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        private static void serve(Socket accepted, Handler handler) {
            try (accepted) {
                accepted.setTcpNoDelay(true);
                InputStream input = new BufferedInputStream(accepted.getInputStream());
                Request request = readRequest(input);
                while (request != null && handler.handle(request, accepted, accepted.getOutputStream())) {
                    request = readRequest(input);
                }
            } catch (Exception exception) {
                // The peer has closed the connection.
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = input.read();
        while (next >= 0 && next != '\n') {
            line.write(next);
            next = input.read();
        }
        return next < 0 && line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    private static Map<String, String> readHeaders(InputStream input) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(input); line != null && !line.isEmpty(); line = readLine(input)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return headers;
    }

    private static Request readRequest(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) {
            return null;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = readHeaders(input);
        byte[] body = input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        String[] target = words[1].split("\\?", 2);
        Map<String, String> query = new LinkedHashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        return new Request(words[0], target[0], query, headers, body);
    }

    static void answer(OutputStream output, int status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        output.write(all.toByteArray());
        output.flush();
    }

    static void json(OutputStream output, int status, Object document) throws IOException {
        answer(output, status, Map.of("Content-Type", "application/json"), JSON.writeValueAsBytes(document));
    }

    /** Makes one call on a new connection. */
    static Answer call(String address, String method, String path, Map<String, String> headers, byte[] body, int millis)
            throws IOException {
        String[] parts = address.split(":");
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
            socket.setSoTimeout(millis);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nConnection: close\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            OutputStream output = socket.getOutputStream();
            output.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            output.write(body);
            output.flush();
            InputStream input = new BufferedInputStream(socket.getInputStream());
            String line = readLine(input);
            if (line == null) {
                throw new IOException("closed without an answer");
            }
            Map<String, String> answered = readHeaders(input);
            String length = answered.get("content-length");
            byte[] content = length == null ? input.readAllBytes() : input.readNBytes(Integer.parseInt(length));
            return new Answer(Integer.parseInt(line.split(" ")[1]), answered, content);
        }
    }
}
