package io.yuccaswitch.http;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Optional;

/**
 * Writes the requests of a connection, and retains why that failed. The operating system reports the reset of a
 * connection once, to the writer or to the reader: after the writer got it, the reader sees an orderly end.
 */
final class RequestOutputStream extends FilterOutputStream {

    /** The first failure. */
    private volatile Optional<IOException> failure = Optional.empty();

    /**
     * Creates a stream.
     *
     * @param target Writes to the connection.
     */
    RequestOutputStream(OutputStream target) {
        super(target);
    }

    /**
     * Returns why a request could not be written.
     *
     * @return The first failure, or empty if there was none.
     */
    Optional<IOException> failure() {
        return failure;
    }

    /** {@inheritDoc} */
    @Override
    public void write(int value) throws IOException {
        write(new byte[] {(byte) value}, 0, 1);
    }

    /** {@inheritDoc} */
    @Override
    public void write(byte[] source, int offset, int length) throws IOException {
        try {
            out.write(source, offset, length);
        } catch (IOException exception) {
            throw recorded(exception);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void flush() throws IOException {
        try {
            out.flush();
        } catch (IOException exception) {
            throw recorded(exception);
        }
    }

    /**
     * Records a failure.
     *
     * @param exception The failure.
     * @return The same failure.
     */
    private IOException recorded(IOException exception) {
        if (failure.isEmpty()) {
            failure = Optional.of(exception);
        }
        return exception;
    }
}
