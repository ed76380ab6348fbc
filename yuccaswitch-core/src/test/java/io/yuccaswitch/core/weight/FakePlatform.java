package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/** A fake platform that stores objects with versions and supports conditional updates. */
final class FakePlatform {

    final Map<PlatformPurpose, Integer> calls = new EnumMap<>(PlatformPurpose.class);

    private final Map<String, StoredObject> objects = new TreeMap<>();

    private long version;

    boolean unreachable;

    int answersToLose;

    PlatformEvent answer(PlatformEffect effect) {
        calls.merge(effect.purpose(), 1, Integer::sum);
        PlatformEvent answer = apply(effect);
        if (answersToLose > 0 && effect instanceof PlatformEffect.Write) {
            answersToLose--;
            return new PlatformEvent.Unavailable(effect.token(), true, "answer lost");
        }
        return answer;
    }

    Optional<StoredObject> find(String kind, String name) {
        return Optional.ofNullable(objects.get(new ObjectKey(kind, name).toString()));
    }

    void put(String kind, String name, String value) {
        ObjectKey key = new ObjectKey(kind, name);
        objects.put(key.toString(), new StoredObject(key, ++version, Bytes.ofUtf8(value), false));
    }

    void remove(String kind, String name) {
        version++;
        objects.remove(new ObjectKey(kind, name).toString());
    }

    private PlatformEvent apply(PlatformEffect effect) {
        if (effect instanceof PlatformEffect.Read read) {
            return new PlatformEvent.ObjectRead(
                    read.token(), Optional.ofNullable(objects.get(read.key().toString())));
        }
        if (effect instanceof PlatformEffect.ListKind list) {
            List<StoredObject> found = new ArrayList<>(objects.values());
            found.removeIf(object -> !object.key().kind().equals(list.kind()));
            return new PlatformEvent.ObjectsListed(list.token(), found, version, false);
        }
        PlatformEffect.Write write = (PlatformEffect.Write) effect;
        Optional<StoredObject> current =
                Optional.ofNullable(objects.get(write.key().toString()));
        OptionalLong present =
                current.map(object -> OptionalLong.of(object.version())).orElseGet(OptionalLong::empty);
        if (!present.equals(write.expectedVersion())) {
            return new PlatformEvent.Conflict(write.token(), current);
        }
        objects.put(write.key().toString(), new StoredObject(write.key(), ++version, write.value(), false));
        return new PlatformEvent.Accepted(write.token(), version);
    }
}
