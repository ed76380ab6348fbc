package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the time in seconds since its start. */
final class Record {

    private static final long START = System.nanoTime();
    private static PrintWriter writer;

    private Record() {}

    static synchronized void open(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void write(String line) {
        if (writer != null) {
            writer.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), line));
        }
    }
}
