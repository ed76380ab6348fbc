package io.yuccaswitch.core.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.value.Bytes;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the encoding of stored reports. */
final class StoredReportTest {

    @Test
    void encodedReportsAreDecoded() {
        StoredReport report = new StoredReport(7, new NodeName("node-1"), 3, false, Map.of("a", 1L, "b-2", 20L));
        assertThat(StoredReport.decode(report.encode())).contains(report);
        StoredReport empty = new StoredReport(8, new NodeName("node-1"), 3, true, Map.of());
        assertThat(StoredReport.decode(empty.encode())).contains(empty);
    }

    @Test
    void malformedReportsAreNotDecoded() {
        assertThat(StoredReport.decode(Bytes.ofUtf8(""))).isEmpty();
        assertThat(StoredReport.decode(Bytes.ofUtf8("x node-1 1 true a=1"))).isEmpty();
        assertThat(StoredReport.decode(Bytes.ofUtf8("7 node-1 1 true a"))).isEmpty();
    }
}
