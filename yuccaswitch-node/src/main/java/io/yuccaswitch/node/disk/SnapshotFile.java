package io.yuccaswitch.node.disk;

import com.google.common.hash.Hashing;
import io.yuccaswitch.core.value.Bytes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import org.jboss.logging.Logger;

/**
 * A file that holds one value and is replaced atomically. The value is written to a second file, which is then renamed
 * to the first one, so that a reader finds either the old value or the new one. A file that is truncated, damaged or of
 * another format is treated as absent. Instances are confined to one thread.
 */
public final class SnapshotFile {

    /** The first bytes of each file: a magic number and the version of the format. */
    private static final long FORMAT_ID = 0x5955_4343_534E_0001L;

    /** The number of bytes before the value: the format, the length and the checksum. */
    private static final int HEADER_BYTES = Long.BYTES + Integer.BYTES + Integer.BYTES;

    /** The maximum size of a value. */
    private static final int MAXIMUM_VALUE_BYTES = 256 * 1024 * 1024;

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(SnapshotFile.class);

    /** The file. */
    private final Path file;

    /** The file that is written first and then renamed to the other one. */
    private final Path replacement;

    /**
     * Creates a new instance without accessing the disk.
     *
     * @param file The file.
     */
    public SnapshotFile(Path file) {
        this.file = file;
        replacement = file.resolveSibling(file.getFileName() + ".new");
    }

    /**
     * Reads the value.
     *
     * @return The value, or empty if there is no intact one.
     */
    public Optional<Bytes> read() {
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        try {
            Optional<Bytes> value = decode(ByteBuffer.wrap(Files.readAllBytes(file)));
            if (value.isEmpty()) {
                LOGGER.warnf("event=snapshot-damaged file=%s", file);
            }
            return value;
        } catch (IOException exception) {
            LOGGER.warnf("event=snapshot-unreadable file=%s reason=\"%s\"", file, exception);
            return Optional.empty();
        }
    }

    /**
     * Replaces the value. A failure is logged and leaves the previous value in place.
     *
     * @param value The value.
     * @return {@code true} if the value was written to the disk.
     */
    public boolean write(Bytes value) {
        if (value.size() > MAXIMUM_VALUE_BYTES) {
            LOGGER.warnf("event=snapshot-too-large file=%s bytes=%d", file, value.size());
            return false;
        }
        try {
            Files.createDirectories(file.toAbsolutePath().getParent());
            writeReplacement(value);
            Files.move(replacement, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            force(file.toAbsolutePath().getParent());
            return true;
        } catch (IOException exception) {
            LOGGER.warnf("event=snapshot-not-written file=%s reason=\"%s\"", file, exception);
            return false;
        }
    }

    /**
     * Writes the second file and forces it to the disk.
     *
     * @param value The value.
     * @throws IOException If the disk fails.
     */
    private void writeReplacement(Bytes value) throws IOException {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES)
                .putLong(FORMAT_ID)
                .putInt(value.size())
                .putInt(checksum(value))
                .flip();
        try (FileChannel channel = FileChannel.open(
                replacement,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE)) {
            writeFully(channel, header);
            writeFully(channel, ByteBuffer.wrap(value.unsafeArray()));
            channel.force(true);
        }
    }

    /**
     * Writes all bytes of a buffer.
     *
     * @param channel The channel.
     * @param buffer The buffer.
     * @throws IOException If the disk fails.
     */
    private static void writeFully(FileChannel channel, ByteBuffer buffer) throws IOException {
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
    }

    /**
     * Forces the entries of a folder to the disk, so that a replaced file survives a crash of the VM.
     *
     * @param folder The folder.
     * @throws IOException If the disk fails.
     */
    private static void force(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /**
     * Decodes the content of a file.
     *
     * @param content The content.
     * @return The value, or empty if the content is truncated, damaged or of another format.
     */
    private static Optional<Bytes> decode(ByteBuffer content) {
        if (content.remaining() < HEADER_BYTES || content.getLong() != FORMAT_ID) {
            return Optional.empty();
        }
        int size = content.getInt();
        int checksum = content.getInt();
        if (size != content.remaining()) {
            return Optional.empty();
        }
        byte[] bytes = new byte[size];
        content.get(bytes);
        return Optional.of(Bytes.wrap(bytes)).filter(value -> checksum(value) == checksum);
    }

    /**
     * Computes the checksum of a value.
     *
     * @param value The value.
     * @return The checksum.
     */
    private static int checksum(Bytes value) {
        return Hashing.crc32c().hashBytes(value.unsafeArray()).asInt();
    }
}
