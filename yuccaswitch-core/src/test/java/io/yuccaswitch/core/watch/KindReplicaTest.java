package io.yuccaswitch.core.watch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** A copy that need not hold the objects with the value "ended". */
class KindReplicaTest {

    private static final Bytes OPEN = Bytes.ofUtf8("open");
    private static final Bytes ENDED = Bytes.ofUtf8("ended");

    private final KindReplica replica =
            new KindReplica(object -> !object.value().equals(ENDED));

    @Test
    void onlyTheLatestObjectsThatNeedNotBeHeldAreRetained() {
        replica.apply(new KindFeed.Changes(List.of(object(1, OPEN)), true), 1);
        replica.apply(changes(2, 5000, ENDED), 5000);
        KindFeed.Changes all = replica.changesAfter(WatchMessage.UNKNOWN_VERSION);
        assertThat(all.complete()).isTrue();
        assertThat(all.objects()).hasSize(501).contains(object(1, OPEN), object(5000, ENDED));
    }

    @Test
    void aFollowerThatLacksTheLatestOfThemReceivesThemAsChanges() {
        replica.apply(new KindFeed.Changes(List.of(object(1, OPEN)), true), 1);
        replica.apply(changes(2, 5000, ENDED), 5000);
        assertThat(replica.changesAfter(4990)).isEqualTo(changes(4991, 5000, ENDED));
    }

    @Test
    void aFollowerThatLacksOlderOnesReceivesACompleteList() {
        replica.apply(new KindFeed.Changes(List.of(object(1, OPEN)), true), 1);
        replica.apply(changes(2, 5000, ENDED), 5000);
        assertThat(replica.changesAfter(100).complete()).isTrue();
    }

    private static KindFeed.Changes changes(long first, long last, Bytes value) {
        return new KindFeed.Changes(
                LongStream.rangeClosed(first, last)
                        .mapToObj(version -> object(version, value))
                        .toList(),
                false);
    }

    private static StoredObject object(long version, Bytes value) {
        return new StoredObject(new ObjectKey("job", "job-" + version), version, value, false);
    }
}
