import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The time since the start of a case, and its record. */
final class Clock {

    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Clock() {}

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static synchronized void record(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
    }
}
