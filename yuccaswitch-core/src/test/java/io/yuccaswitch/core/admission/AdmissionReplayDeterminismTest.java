package io.yuccaswitch.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compares replays between JVMs: within one, a dependence on identity hash codes repeats and can't be seen. */
final class AdmissionReplayDeterminismTest {

    /**
     * Guards against decisions that depend on identity hash codes, such as those of enums in the keys of hash maps, or
     * on the order of immutable sets and maps, which each JVM chooses at random.
     */
    @Test
    void replayDependsOnItsSeedAlone() throws Exception {
        List<String> digests = new ArrayList<>();
        for (int prelude : List.of(0, 7, 14)) {
            digests.add(digest(List.of(), prelude));
        }
        digests.add(digest(List.of("-XX:+UnlockExperimentalVMOptions", "-XX:hashCode=2"), 0));
        assertThat(digests).allMatch(digest -> digest.matches("-?\\d+ -?\\d+"));
        assertThat(digests).containsOnly(digests.get(0));
    }

    private static String digest(List<String> options, int prelude) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(AdmissionReplayDigest.class.getName(), Integer.toString(prelude)));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor()).as(output).isZero();
        return output.strip();
    }
}
