package io.yuccaswitch.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;
import java.util.Optional;

/**
 * A socket whose input consists of valid answers only. It is based on a channel, since only a channel can be read
 * without waiting.
 */
final class AnswerSocket extends Socket {

    /** The channel. */
    private final SocketChannel channel;

    /** The socket of the channel. */
    private final Socket delegate;

    /** Receives what is wrong with answers and the connection, and the number of received bytes. */
    private final AnswerObserver observer;

    /** The answers. */
    private final AnswerInputStream answers;

    /** The requests, once the socket is connected. */
    private volatile Optional<RequestOutputStream> requests = Optional.empty();

    /** Whether the connection has carried a request. */
    private volatile boolean isKept;

    /**
     * Creates a socket that is not connected.
     *
     * @param observer Receives what is wrong with answers and the connection.
     * @throws IOException If no socket is available.
     */
    AnswerSocket(AnswerObserver observer) throws IOException {
        this.observer = observer;
        channel = SocketChannel.open();
        delegate = channel.socket();
        answers = new AnswerInputStream(new ChannelSource(), this::sendingFailure, observer, this::peer);
    }

    /**
     * Determines whether the connection can be used for a request, and reports it if not.
     *
     * @return The condition of the connection.
     */
    ConnectionCondition condition() {
        return answers.condition();
    }

    /**
     * Starts to read an answer.
     *
     * @param method The method of the request.
     */
    void expectAnswer(String method) {
        isKept = true;
        answers.expectAnswer(method);
    }

    /**
     * Returns whether the connection has carried a request.
     *
     * @return {@code false} for a new connection.
     */
    boolean isKept() {
        return isKept;
    }

    /**
     * Returns why a request could not be written.
     *
     * @return The failure, or empty if there was none.
     */
    private Optional<IOException> sendingFailure() {
        return requests.flatMap(RequestOutputStream::failure);
    }

    /**
     * Returns the address of the peer.
     *
     * @return The address for logs.
     */
    private String peer() {
        InetAddress address = delegate.getInetAddress();
        return (address == null ? "unconnected" : address.getHostAddress()) + ":" + delegate.getPort();
    }

    @Override
    public void connect(SocketAddress endpoint) throws IOException {
        delegate.connect(endpoint);
    }

    @Override
    public void connect(SocketAddress endpoint, int timeout) throws IOException {
        delegate.connect(endpoint, timeout);
    }

    @Override
    public void bind(SocketAddress bindpoint) throws IOException {
        delegate.bind(bindpoint);
    }

    @Override
    public InetAddress getInetAddress() {
        return delegate.getInetAddress();
    }

    @Override
    public InetAddress getLocalAddress() {
        return delegate.getLocalAddress();
    }

    @Override
    public int getPort() {
        return delegate.getPort();
    }

    @Override
    public int getLocalPort() {
        return delegate.getLocalPort();
    }

    @Override
    public SocketAddress getRemoteSocketAddress() {
        return delegate.getRemoteSocketAddress();
    }

    @Override
    public SocketAddress getLocalSocketAddress() {
        return delegate.getLocalSocketAddress();
    }

    @Override
    public SocketChannel getChannel() {
        return channel;
    }

    @Override
    public InputStream getInputStream() {
        return answers;
    }

    @Override
    public synchronized OutputStream getOutputStream() throws IOException {
        if (requests.isEmpty()) {
            requests = Optional.of(new RequestOutputStream(delegate.getOutputStream()));
        }
        return requests.get();
    }

    @Override
    public void setTcpNoDelay(boolean isEnabled) throws SocketException {
        delegate.setTcpNoDelay(isEnabled);
    }

    @Override
    public boolean getTcpNoDelay() throws SocketException {
        return delegate.getTcpNoDelay();
    }

    @Override
    public void setKeepAlive(boolean isEnabled) throws SocketException {
        delegate.setKeepAlive(isEnabled);
    }

    @Override
    public boolean getKeepAlive() throws SocketException {
        return delegate.getKeepAlive();
    }

    @Override
    public synchronized void setSoTimeout(int timeout) throws SocketException {
        delegate.setSoTimeout(timeout);
    }

    @Override
    public synchronized int getSoTimeout() throws SocketException {
        return delegate.getSoTimeout();
    }

    @Override
    public void setSoLinger(boolean isEnabled, int seconds) throws SocketException {
        delegate.setSoLinger(isEnabled, seconds);
    }

    @Override
    public synchronized void close() throws IOException {
        delegate.close();
    }

    @Override
    public void shutdownInput() throws IOException {
        delegate.shutdownInput();
    }

    @Override
    public void shutdownOutput() throws IOException {
        delegate.shutdownOutput();
    }

    @Override
    public boolean isConnected() {
        return delegate.isConnected();
    }

    @Override
    public boolean isBound() {
        return delegate.isBound();
    }

    @Override
    public boolean isClosed() {
        return delegate.isClosed();
    }

    @Override
    public boolean isInputShutdown() {
        return delegate.isInputShutdown();
    }

    @Override
    public boolean isOutputShutdown() {
        return delegate.isOutputShutdown();
    }

    @Override
    public String toString() {
        return delegate.toString();
    }

    /**
     * Gives a reason to an exception that has none.
     *
     * @param cause The exception.
     * @return The exception with a reason, for logs.
     */
    private static SocketException closedDuringRead(ClosedChannelException cause) {
        SocketException exception = new SocketException("Socket closed");
        exception.initCause(cause);
        return exception;
    }

    /** Reads the channel. */
    private final class ChannelSource implements ByteSource {

        /** {@inheritDoc} */
        @Override
        public int read(byte[] target, int offset, int length) throws IOException {
            try {
                return counted(delegate.getInputStream().read(target, offset, length));
            } catch (ClosedChannelException exception) {
                throw closedDuringRead(exception);
            }
        }

        /**
         * Counts received bytes.
         *
         * @param count Their number, or -1 if the peer has closed the connection.
         * @return The same number.
         */
        private int counted(int count) {
            observer.received(Math.max(0, count));
            return count;
        }

        /** {@inheritDoc} */
        @Override
        public int poll(byte[] target, int offset, int length) throws IOException {
            channel.configureBlocking(false);
            try {
                return counted(channel.read(ByteBuffer.wrap(target, offset, length)));
            } finally {
                channel.configureBlocking(true);
            }
        }
    }
}
