package io.yuccaswitch.integration.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Finds the packaged binaries of this workspace. */
final class Jars {

    private Jars() {}

    static Path node() {
        return find("yuccaswitch-node");
    }

    static Path command() {
        return find("yuccaswitch-command");
    }

    static Path testkit() {
        return find("yuccaswitch-testkit");
    }

    private static Path find(String module) {
        Path target = root().resolve(module).resolve("target");
        try (Stream<Path> files = Files.list(target)) {
            return files.filter(file -> file.getFileName().toString().endsWith("-all.jar"))
                    .findFirst()
                    .orElseThrow(() -> new IllegalStateException("Run 'mvn package' first: no -all.jar in " + target));
        } catch (IOException exception) {
            throw new UncheckedIOException("Cannot list the build output; run 'mvn package' first", exception);
        }
    }

    /** Returns the root folder of the workspace: the closest one upwards that contains the testkit module. */
    static Path root() {
        Path folder = Path.of(System.getProperty("yuccaswitch.root", "")).toAbsolutePath();
        while (!Files.isDirectory(folder.resolve("yuccaswitch-testkit"))) {
            folder = folder.getParent();
            if (folder == null) {
                throw new IllegalStateException("The working directory is not inside the workspace");
            }
        }
        return folder;
    }
}
