package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import org.junit.jupiter.api.Test;

class BatchIndexTest {

    private final BatchSite site = new BatchSite();

    /** Guards against memory that grows with the number of jobs that ended. */
    @Test
    void aListOfTheIndexOmitsEndedJobsAndRetainsUnreadableEntries() {
        site.node("node-1");
        site.run(500);
        PlatformEffect.ListKind list = site.site.platform().log().stream()
                .filter(PlatformEffect.ListKind.class::isInstance)
                .map(PlatformEffect.ListKind.class::cast)
                .filter(call -> call.kind().equals(BatchObjects.INDEX))
                .findFirst()
                .orElseThrow();
        assertThat(list.filter().retains(object(entry("open", false)))).isTrue();
        assertThat(list.filter().retains(object(entry("ended", true)))).isFalse();
        assertThat(list.filter().retains(object(Bytes.ofUtf8("unreadable")))).isTrue();
    }

    private Bytes entry(String id, boolean ended) {
        return site.codec.writeEntry(new BatchIndexEntry(new BatchJobId(id), new NodeName("x"), ended, 4, ""));
    }

    private static StoredObject object(Bytes value) {
        return new StoredObject(new ObjectKey(BatchObjects.INDEX, "job"), 1, value, false);
    }
}
