package io.yuccaswitch.core.sample;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import com.google.common.io.ByteArrayDataOutput;
import com.google.common.io.ByteStreams;
import io.yuccaswitch.core.identity.TrainerName;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.roaringbitmap.RoaringBitmap;

/**
 * Encodes cursors as URL-safe text: a format version, the trainer, the steps and a checksum. Consecutive steps with the
 * same groups are run-length encoded, so the text stays short over a long training.
 */
public final class CursorCodec {

    /** The version of the format. */
    private static final int FORMAT_VERSION = 1;

    /** The number of bytes of the checksum. */
    private static final int CHECKSUM_BYTES = 4;

    /** The maximum length of an encoded cursor in characters. */
    private static final int MAXIMUM_LENGTH_CHARACTERS = 512 * 1024;

    /** The text encoding. */
    private static final BaseEncoding TEXT = BaseEncoding.base64Url().omitPadding();

    /** This class has no instances. */
    private CursorCodec() {}

    /** The result of decoding a text. */
    public sealed interface Reading {

        /**
         * The text is a cursor of the trainer.
         *
         * @param cursor The cursor.
         */
        record Valid(Cursor cursor) implements Reading {}

        /**
         * The text is not a cursor.
         *
         * @param reason The reason, as reported to the trainer.
         */
        record Malformed(String reason) implements Reading {}

        /**
         * The text is a cursor of another trainer.
         *
         * @param owner The trainer that the cursor belongs to.
         */
        record Foreign(TrainerName owner) implements Reading {}
    }

    /**
     * Encodes a cursor.
     *
     * @param cursor The cursor.
     * @return The text.
     */
    public static String encode(Cursor cursor) {
        ByteArrayDataOutput output = ByteStreams.newDataOutput();
        output.writeByte(FORMAT_VERSION);
        output.writeUTF(cursor.trainer().value());
        output.writeLong(cursor.floorStep());
        long first = -1;
        long last = -1;
        RoaringBitmap groups = null;
        for (Map.Entry<Long, RoaringBitmap> entry : cursor.delivered().entrySet()) {
            boolean continues = groups != null && entry.getKey() == last + 1 && groups.equals(entry.getValue());
            if (!continues) {
                writeRun(output, first, last, groups);
                first = entry.getKey();
                groups = entry.getValue();
            }
            last = entry.getKey();
        }
        writeRun(output, first, last, groups);
        output.writeInt(0);
        byte[] content = output.toByteArray();
        output.write(checksum(content, content.length));
        return TEXT.encode(output.toByteArray());
    }

    /**
     * Decodes a cursor that a node encoded.
     *
     * @param trainer The trainer that the cursor must belong to.
     * @param text The text, or an empty text for the cursor of a trainer that has not received any groups.
     * @return The cursor, or the cursor of a trainer that has not received any groups if the text is not a valid cursor
     *     of the trainer.
     */
    static Cursor decodeOrStart(TrainerName trainer, String text) {
        return decode(trainer, text) instanceof Reading.Valid valid ? valid.cursor() : Cursor.start(trainer);
    }

    /**
     * Decodes a text that a trainer sent.
     *
     * @param trainer The trainer that sent the text.
     * @param text The text.
     * @return The result of decoding the text.
     */
    public static Reading decode(TrainerName trainer, String text) {
        if (text.length() > MAXIMUM_LENGTH_CHARACTERS) {
            return new Reading.Malformed("The cursor is too long.");
        }
        if (!TEXT.canDecode(text)) {
            return new Reading.Malformed("The cursor contains invalid characters.");
        }
        byte[] bytes = TEXT.decode(text);
        int length = bytes.length - CHECKSUM_BYTES;
        if (!TEXT.encode(bytes).equals(text)) {
            return new Reading.Malformed("The cursor is not in its canonical encoding.");
        }
        if (length < 1 || !Arrays.equals(checksum(bytes, length), Arrays.copyOfRange(bytes, length, bytes.length))) {
            return new Reading.Malformed("The cursor's checksum is wrong.");
        }
        try {
            return parse(trainer, new DataInputStream(new ByteArrayInputStream(bytes, 0, length)));
        } catch (IOException | RuntimeException exception) {
            return new Reading.Malformed("The cursor can't be parsed: " + exception.getMessage());
        }
    }

    /**
     * Writes consecutive steps that have the same groups.
     *
     * @param output The output to write to.
     * @param first The first of the steps.
     * @param last The last of the steps.
     * @param groups The groups of each of the steps, or {@code null} to write nothing.
     */
    private static void writeRun(ByteArrayDataOutput output, long first, long last, RoaringBitmap groups) {
        if (groups == null) {
            return;
        }
        RoaringBitmap compact = groups.clone();
        compact.runOptimize();
        byte[] bytes = new byte[compact.serializedSizeInBytes()];
        compact.serialize(java.nio.ByteBuffer.wrap(bytes));
        output.writeInt((int) (last - first + 1));
        output.writeLong(first);
        output.writeInt(bytes.length);
        output.write(bytes);
    }

    /**
     * Parses the content of a cursor.
     *
     * @param trainer The trainer that sent the cursor.
     * @param input The content without its checksum.
     * @return The result of parsing the content.
     * @throws IOException If the content is malformed.
     */
    private static Reading parse(TrainerName trainer, DataInputStream input) throws IOException {
        int format = input.readUnsignedByte();
        if (format != FORMAT_VERSION) {
            return new Reading.Malformed("The cursor has the unknown format version " + format + ".");
        }
        TrainerName owner = new TrainerName(input.readUTF());
        if (!owner.equals(trainer)) {
            return new Reading.Foreign(owner);
        }
        long floor = input.readLong();
        NavigableMap<Long, RoaringBitmap> steps = new TreeMap<>();
        for (int count = input.readInt(); count != 0; count = input.readInt()) {
            readRun(input, count, steps);
        }
        return new Reading.Valid(Cursor.of(owner, floor, steps));
    }

    /**
     * Reads consecutive steps that have the same groups.
     *
     * @param input The input to read from.
     * @param count The number of the steps.
     * @param steps The steps to add to.
     * @throws IOException If the content is malformed.
     */
    private static void readRun(DataInputStream input, int count, NavigableMap<Long, RoaringBitmap> steps)
            throws IOException {
        long first = input.readLong();
        int length = input.readInt();
        if (count < 0 || count > Cursor.MAXIMUM_STEPS || first < 0 || length < 0 || length > input.available()) {
            throw new IOException("the number of steps, the first step or the length of a run is out of bounds");
        }
        RoaringBitmap groups = new RoaringBitmap();
        groups.deserialize(java.nio.ByteBuffer.wrap(input.readNBytes(length)));
        for (long step = first; step < first + count; step++) {
            steps.put(step, groups);
        }
    }

    /**
     * Computes the checksum of the beginning of an array.
     *
     * @param bytes The array.
     * @param length The number of bytes to include.
     * @return The checksum.
     */
    private static byte[] checksum(byte[] bytes, int length) {
        return Hashing.crc32c().hashBytes(bytes, 0, length).asBytes();
    }
}
