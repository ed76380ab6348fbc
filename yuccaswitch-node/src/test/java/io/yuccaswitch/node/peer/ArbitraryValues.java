package io.yuccaswitch.node.peer;

import io.yuccaswitch.core.value.Bytes;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

/** Creates a value of any type that occurs in messages, without empty containers. */
final class ArbitraryValues {

    private static final Map<Class<?>, Object> LEAF_VALUES = Map.ofEntries(
            Map.entry(boolean.class, true),
            Map.entry(int.class, 3),
            Map.entry(long.class, 5L),
            Map.entry(double.class, 0.25),
            Map.entry(Integer.class, 4),
            Map.entry(Long.class, 6L),
            Map.entry(Double.class, 0.5),
            Map.entry(Boolean.class, true),
            Map.entry(String.class, "a1"),
            Map.entry(Duration.class, Duration.ofMillis(1500)),
            Map.entry(OptionalLong.class, OptionalLong.of(7)),
            Map.entry(OptionalInt.class, OptionalInt.of(8)),
            Map.entry(OptionalDouble.class, OptionalDouble.of(0.75)),
            Map.entry(Bytes.class, Bytes.ofUtf8("bytes")));

    private ArbitraryValues() {}

    static Object of(Type type) {
        if (type instanceof ParameterizedType parameterized) {
            return container(parameterized);
        }
        Class<?> raw = (Class<?>) type;
        if (LEAF_VALUES.containsKey(raw)) {
            return LEAF_VALUES.get(raw);
        }
        if (raw.isEnum()) {
            return raw.getEnumConstants()[raw.getEnumConstants().length - 1];
        }
        return raw.isSealed() ? of(raw.getPermittedSubclasses()[0]) : record(raw);
    }

    private static Object container(ParameterizedType type) {
        Object first = of(type.getActualTypeArguments()[0]);
        if (type.getRawType() == Map.class) {
            return Map.of(first, of(type.getActualTypeArguments()[1]));
        }
        if (type.getRawType() == Set.class) {
            return Set.of(first);
        }
        return type.getRawType() == Optional.class ? Optional.of(first) : List.of(first);
    }

    private static Object record(Class<?> type) {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        Object[] values = Arrays.stream(components)
                .map(component -> of(component.getGenericType()))
                .toArray();
        try {
            return type.getDeclaredConstructor(types).newInstance(values);
        } catch (ReflectiveOperationException exception) {
            throw new IllegalStateException("Can't create a value of " + type, exception);
        }
    }
}
