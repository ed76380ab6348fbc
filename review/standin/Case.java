package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs a case, and ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
final class Case {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final long LIMIT_MILLIS = 116_000;

    /** The steps of a case. */
    interface Steps {
        int run(Site site, boolean trouble) throws IOException, InterruptedException;
    }

    private Case() {}

    /** Runs a case. The arguments are the checkout, the file of the record, and 0 for no disruption. */
    static void run(String[] arguments, Steps steps) throws IOException {
        Record.open(Path.of(arguments[1]));
        boolean trouble = !arguments[2].equals("0");
        Record.write(trouble ? "with the disruption" : "without the disruption");
        Path folder = Files.createTempDirectory("review");
        int result = NOT_RUN;
        try (Site site = new Site(Path.of(arguments[0]), folder)) {
            Runtime.getRuntime().addShutdownHook(new Thread(site::close));
            Http.start("limit", () -> endAtLimit(site));
            result = steps.run(site, trouble);
        } catch (IOException | InterruptedException | RuntimeException exception) {
            Record.write("the case could not run: " + exception);
        }
        delete(folder);
        Record.write("exit " + result);
        System.out.println("exit " + result);
        Runtime.getRuntime().halt(result);
    }

    private static void endAtLimit(Site site) {
        try {
            Thread.sleep(LIMIT_MILLIS);
        } catch (InterruptedException exception) {
            return;
        }
        Record.write("the case could not run: it took too long");
        site.close();
        Runtime.getRuntime().halt(NOT_RUN);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
