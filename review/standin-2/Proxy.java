import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A TCP proxy that can hold all bytes back in both directions, as a network partition does. */
final class Proxy {
    private final String target;
    private final ServerSocket socket;
    private volatile boolean cut;
    final String address;

    Proxy(String target) throws Exception {
        this.target = target;
        socket = new ServerSocket();
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        address = "127.0.0.1:" + socket.getLocalPort();
        Wire.thread("proxy", () -> {
            while (true) {
                Socket client = socket.accept();
                Wire.thread("proxy-connection", () -> open(client));
            }
        });
    }

    void cut(boolean now) {
        cut = now;
    }

    private void open(Socket client) throws Exception {
        awaitPath();
        Socket server = new Socket();
        server.connect(Wire.parse(target), 1000);
        client.setTcpNoDelay(true);
        server.setTcpNoDelay(true);
        Wire.thread("proxy-copy", () -> copy(client, server));
        copy(server, client);
    }

    private void copy(Socket from, Socket to) throws Exception {
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[65536];
            while (true) {
                int count = in.read(buffer);
                awaitPath();
                if (count < 0) {
                    return;
                }
                out.write(buffer, 0, count);
            }
        }
    }

    private void awaitPath() throws InterruptedException {
        while (cut) {
            Thread.sleep(5);
        }
    }
}
