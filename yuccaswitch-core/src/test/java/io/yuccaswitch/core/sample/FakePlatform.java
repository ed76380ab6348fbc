package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** A platform stand-in that a test can make unavailable, and whose answers to writes a test can drop. */
final class FakePlatform {

    record Answer(NodeIdentity node, PlatformEvent event) {}

    boolean unavailable;
    int answersToDrop;
    int writes;
    final Map<ObjectKey, StoredObject> objects = new HashMap<>();

    private static final Duration ANSWER_LATENCY = Duration.ofMillis(10);
    private final List<PendingAnswer> pendingAnswers = new ArrayList<>();
    private long version;

    private record PendingAnswer(MonotonicTime at, Answer answer) {}

    void call(NodeIdentity node, PlatformEffect call, MonotonicTime now) {
        pendingAnswers.add(new PendingAnswer(now.plus(ANSWER_LATENCY), new Answer(node, answer(call))));
    }

    List<Answer> answers(MonotonicTime now) {
        List<PendingAnswer> due = pendingAnswers.stream()
                .filter(pendingAnswer -> !now.isBefore(pendingAnswer.at()))
                .toList();
        pendingAnswers.removeAll(due);
        return due.stream().map(PendingAnswer::answer).toList();
    }

    private PlatformEvent answer(PlatformEffect call) {
        if (unavailable) {
            return new PlatformEvent.Unavailable(call.token(), false, "down");
        }
        if (call instanceof PlatformEffect.Write write) {
            return write(write);
        }
        PlatformEffect.Read read = (PlatformEffect.Read) call;
        return new PlatformEvent.ObjectRead(read.token(), Optional.ofNullable(objects.get(read.key())));
    }

    private PlatformEvent write(PlatformEffect.Write write) {
        Optional<StoredObject> current = Optional.ofNullable(objects.get(write.key()));
        OptionalLong actual =
                current.map(object -> OptionalLong.of(object.version())).orElseGet(OptionalLong::empty);
        if (!actual.equals(write.expectedVersion())) {
            return new PlatformEvent.Conflict(write.token(), current);
        }
        version++;
        writes++;
        objects.put(write.key(), new StoredObject(write.key(), version, write.value(), false));
        if (answersToDrop > 0) {
            answersToDrop--;
            return new PlatformEvent.Unavailable(write.token(), true, "answer lost");
        }
        return new PlatformEvent.Accepted(write.token(), version);
    }
}
