package io.yuccaswitch.settings;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.Optional;

/** Creates record instances by reflection. */
final class RecordInstances {

    /** This class has no instances. */
    private RecordInstances() {}

    /**
     * Returns the canonical constructor of a record.
     *
     * @param type The record.
     * @return The canonical constructor.
     */
    static Constructor<?> canonicalConstructor(Class<?> type) {
        Class<?>[] components = Arrays.stream(type.getRecordComponents())
                .map(RecordComponent::getType)
                .toArray(Class<?>[]::new);
        try {
            Constructor<?> constructor = type.getDeclaredConstructor(components);
            constructor.setAccessible(true);
            return constructor;
        } catch (NoSuchMethodException e) {
            throw new IllegalStateException("Canonical constructor not found: " + type, e);
        }
    }

    /**
     * Creates a record.
     *
     * @param constructor The canonical constructor of the record.
     * @param arguments The values of the components.
     * @return The record, or empty if its constructor rejected the values.
     */
    static Optional<Object> create(Constructor<?> constructor, Object... arguments) {
        try {
            return Optional.of(constructor.newInstance(arguments));
        } catch (InvocationTargetException e) {
            if (e.getCause() instanceof IllegalArgumentException) {
                return Optional.empty();
            }
            throw new IllegalStateException("Record constructor failed: " + constructor, e);
        } catch (InstantiationException | IllegalAccessException e) {
            throw new IllegalStateException("Record constructor cannot be called: " + constructor, e);
        }
    }
}
