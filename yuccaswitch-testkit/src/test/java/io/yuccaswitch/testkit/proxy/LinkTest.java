package io.yuccaswitch.testkit.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LinkTest {

    private static final int SILENCE_TIMEOUT_MILLIS = 200;

    private ServerSocket echo;

    private Link link;

    @BeforeEach
    void startEcho() throws IOException {
        echo = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startThread(() -> {
            while (true) {
                Socket socket = echo.accept();
                startThread(() -> socket.getInputStream().transferTo(socket.getOutputStream()));
            }
        });
        link = new Link(0, new InetSocketAddress(InetAddress.getLoopbackAddress(), echo.getLocalPort()));
    }

    @AfterEach
    void close() throws IOException {
        link.close();
        echo.close();
    }

    @Test
    void bytesAreForwardedAndCountedInBothDirections() throws IOException {
        try (Socket socket = connect()) {
            send(socket, "hello");
            assertThat(receive(socket, 5)).isEqualTo("hello");
        }
        assertThat(link.counts().accepted()).isEqualTo(1);
        await().until(() -> link.counts().bytesUp() == 5 && link.counts().bytesDown() == 5);
    }

    @Test
    void aRefusingLinkReservesItsPortAndLaterAcceptsConnectionsAgain() throws IOException {
        link.apply(LinkFaults.of(LinkMode.REFUSE));
        assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class);
        link.apply(LinkFaults.NONE);
        try (Socket socket = connect()) {
            send(socket, "again");
            assertThat(receive(socket, 5)).isEqualTo("again");
        }
    }

    @Test
    void aBlackholeForwardsNothingUntilTheLinkPassesAgain() throws IOException {
        link.apply(LinkFaults.of(LinkMode.BLACKHOLE));
        try (Socket socket = connect()) {
            send(socket, "late");
            assertSilent(socket);
            link.apply(LinkFaults.NONE);
            assertThat(receive(socket, 4)).isEqualTo("late");
        }
    }

    @Test
    void aConnectionIsResetAfterTheGivenBytesFromTheTarget() throws IOException {
        try (Socket socket = connect()) {
            send(socket, "warm");
            assertThat(receive(socket, 4)).isEqualTo("warm");
            link.apply(LinkFaults.NONE.withReset(Direction.DOWN, 3));
            send(socket, "hello");
            assertThatThrownBy(() -> receive(socket, 5)).isInstanceOf(SocketException.class);
        }
        assertThat(link.counts().bytesDown()).isEqualTo(7);
    }

    @Test
    void aOneWayPartitionBlocksOnlyTheAnswers() throws IOException {
        link.apply(LinkFaults.NONE.withCut(Direction.DOWN));
        try (Socket socket = connect()) {
            send(socket, "hello");
            await().until(() -> link.counts().bytesUp() == 5);
            assertSilent(socket);
        }
    }

    @Test
    void bytesAreDelayedInEachDirection() throws IOException {
        link.apply(LinkFaults.NONE.withDelay(Duration.ofMillis(100)));
        long startedAt = System.nanoTime();
        try (Socket socket = connect()) {
            send(socket, "hello");
            assertThat(receive(socket, 5)).isEqualTo("hello");
        }
        assertThat(Duration.ofNanos(System.nanoTime() - startedAt)).isGreaterThanOrEqualTo(Duration.ofMillis(200));
    }

    @Test
    void aThrottledLinkDoesNotExceedItsRate() throws IOException {
        link.apply(LinkFaults.NONE.withThrottle(1000));
        long startedAt = System.nanoTime();
        try (Socket socket = connect()) {
            send(socket, "x".repeat(300));
            receive(socket, 300);
        }
        assertThat(Duration.ofNanos(System.nanoTime() - startedAt)).isGreaterThanOrEqualTo(Duration.ofMillis(280));
    }

    @Test
    void cuttingConnectionsResetsOpenConnections() throws IOException {
        try (Socket socket = connect()) {
            send(socket, "hello");
            receive(socket, 5);
            link.cutConnections();
            assertThatThrownBy(() -> receive(socket, 1)).isInstanceOf(SocketException.class);
        }
        await().until(() -> link.counts().open() == 0);
    }

    private Socket connect() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), link.port());
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String receive(Socket socket, int size) throws IOException {
        return new String(socket.getInputStream().readNBytes(size), StandardCharsets.UTF_8);
    }

    private static void assertSilent(Socket socket) throws IOException {
        socket.setSoTimeout(SILENCE_TIMEOUT_MILLIS);
        assertThatThrownBy(() -> receive(socket, 1)).isInstanceOf(SocketTimeoutException.class);
        socket.setSoTimeout(0);
    }

    private static void startThread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException _exception) {
                // The test is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @FunctionalInterface
    private interface Work {
        void run() throws IOException;
    }
}
