package io.yuccaswitch.core.configuration.distribution;

import io.yuccaswitch.core.value.Bytes;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Compresses envelopes for transfers between nodes. Envelopes are texts with many repetitions. */
final class Compression {

    /** The maximum size of an expanded envelope, well above the platform's maximum size of a value. */
    static final int MAXIMUM_EXPANDED_BYTES = 4 * 1024 * 1024;

    /** The size of the buffer. */
    private static final int BUFFER_BYTES = 16 * 1024;

    /** This class has no instances. */
    private Compression() {}

    /**
     * Compresses bytes.
     *
     * @param plain The bytes.
     * @return The compressed bytes.
     */
    static Bytes compress(Bytes plain) {
        Deflater deflater = new Deflater();
        deflater.setInput(plain.unsafeArray());
        deflater.finish();
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        while (!deflater.finished()) {
            output.write(buffer, 0, deflater.deflate(buffer));
        }
        deflater.end();
        return Bytes.wrap(output.toByteArray());
    }

    /**
     * Expands bytes that need not be well-formed.
     *
     * @param compressed The compressed bytes.
     * @return The bytes, or empty if the input is malformed or expands beyond the maximum size.
     */
    static Optional<Bytes> expand(Bytes compressed) {
        Inflater inflater = new Inflater();
        inflater.setInput(compressed.unsafeArray());
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                output.write(buffer, 0, count);
                if ((count == 0 && !inflater.finished()) || output.size() > MAXIMUM_EXPANDED_BYTES) {
                    return Optional.empty();
                }
            }
            return Optional.of(Bytes.wrap(output.toByteArray()));
        } catch (DataFormatException _exception) {
            return Optional.empty();
        } finally {
            inflater.end();
        }
    }
}
