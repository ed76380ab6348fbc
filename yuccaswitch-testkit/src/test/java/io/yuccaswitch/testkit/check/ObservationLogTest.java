package io.yuccaswitch.testkit.check;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.testkit.check.Observation.EndpointRun;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ObservationLogTest {

    @TempDir
    private Path folder;

    @Test
    void anIncompleteLineOfAKilledProcessIsSkippedAndItsSuccessorAppends() throws Exception {
        Path file = folder.resolve("ledger-1.observations");
        EndpointRun first = RunLog.to("ledger-1", file.toString()).recordStart("vm-1@1/a", List.of());
        Files.writeString(file, "{\"observation\":\"endpoint-run\",\"endp", StandardOpenOption.APPEND);
        EndpointRun second = RunLog.to("ledger-1", file.toString()).recordStart("vm-1@1/b", List.of());

        assertThat(ObservationLog.read(file)).containsExactly(first, second);
    }

    @Test
    void theEndOfARunReplacesItsStart() throws Exception {
        Path file = folder.resolve("ledger-1.observations");
        RunLog log = RunLog.to("ledger-1", file.toString());
        log.recordEnd(log.recordStart("vm-1@1/a", List.of()), true, List.of());

        assertThat(new Observations(ObservationLog.read(file)).of(EndpointRun.class))
                .singleElement()
                .extracting(EndpointRun::completed)
                .isEqualTo(true);
    }
}
