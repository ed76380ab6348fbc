package io.yuccaswitch.settings;

import io.yuccaswitch.core.configuration.Setting;
import io.yuccaswitch.settings.ContainerTypes.ListType;
import io.yuccaswitch.settings.ContainerTypes.MapType;
import io.yuccaswitch.settings.ContainerTypes.OptionalType;
import io.yuccaswitch.settings.ContainerTypes.RecordType;
import io.yuccaswitch.settings.ScalarTypes.BooleanType;
import io.yuccaswitch.settings.ScalarTypes.DurationType;
import io.yuccaswitch.settings.ScalarTypes.EnumerationType;
import io.yuccaswitch.settings.ScalarTypes.NameType;
import io.yuccaswitch.settings.ScalarTypes.NumberType;
import io.yuccaswitch.settings.ScalarTypes.ReferenceType;
import io.yuccaswitch.settings.ScalarTypes.TextType;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Determines the types of the components of settings records by reflection. */
final class SettingTypes {

    /** This class has no instances. */
    private SettingTypes() {}

    /**
     * Returns the type of a settings record.
     *
     * @param type The record, whose components are all annotated with {@link Setting}.
     * @return The type of the record.
     */
    static RecordType ofRecord(Class<?> type) {
        List<SettingKey> keys = new ArrayList<>();
        for (RecordComponent component : type.getRecordComponents()) {
            Setting setting = component.getAnnotation(Setting.class);
            if (setting == null) {
                throw new IllegalArgumentException("Missing @Setting annotation: " + type + "." + component.getName());
            }
            keys.add(new SettingKey(component.getName(), of(component.getGenericType(), setting), setting));
        }
        return new RecordType(RecordInstances.canonicalConstructor(type), List.copyOf(keys));
    }

    /**
     * Returns the type of a component.
     *
     * @param type The Java type of the component.
     * @param setting The annotation of the component.
     * @return The type of the component.
     */
    private static SettingType of(Type type, Setting setting) {
        if (type instanceof ParameterizedType generic) {
            return ofGeneric(generic, setting);
        }
        if (!(type instanceof Class<?> simpleClass)) {
            throw unsupported(type);
        }
        SettingType scalar = ofClass(simpleClass, setting);
        return setting.references().isEmpty() ? scalar : new ReferenceType(scalar, setting.references());
    }

    /**
     * Returns the type of an optional value, list or map.
     *
     * @param type The generic Java type.
     * @param setting The annotation of the component.
     * @return The type of the component.
     */
    private static SettingType ofGeneric(ParameterizedType type, Setting setting) {
        Type[] arguments = type.getActualTypeArguments();
        if (type.getRawType() == Optional.class) {
            return new OptionalType(of(arguments[0], setting));
        }
        if (type.getRawType() == List.class) {
            return new ListType(of(arguments[0], setting));
        }
        if (type.getRawType() == Map.class && arguments[0] instanceof Class<?> key) {
            return new MapType(ofClass(key, setting), of(arguments[1], setting));
        }
        throw unsupported(type);
    }

    /**
     * Returns the type of a class.
     *
     * @param type The class.
     * @param setting The annotation of the component.
     * @return The type of the component.
     */
    private static SettingType ofClass(Class<?> type, Setting setting) {
        if (type == boolean.class || type == Boolean.class) {
            return new BooleanType();
        }
        if (type == String.class) {
            return new TextType();
        }
        if (type == Duration.class) {
            return new DurationType(setting.minimum(), setting.maximum());
        }
        if (type.isEnum()) {
            return new EnumerationType(Arrays.stream(type.getEnumConstants())
                    .<Enum<?>>map(constant -> (Enum<?>) constant)
                    .toList());
        }
        if (type.isRecord()) {
            return isName(type) ? new NameType(RecordInstances.canonicalConstructor(type)) : ofRecord(type);
        }
        return ofNumber(type, setting);
    }

    /**
     * Returns the type of a number.
     *
     * @param type The class.
     * @param setting The annotation of the component.
     * @return The type of the component.
     */
    private static SettingType ofNumber(Class<?> type, Setting setting) {
        if (type == int.class || type == Integer.class) {
            return new NumberType(
                    true,
                    bound(setting.minimum(), Integer.MIN_VALUE),
                    bound(setting.maximum(), Integer.MAX_VALUE),
                    BigDecimal::intValueExact);
        }
        if (type == long.class || type == Long.class) {
            return new NumberType(
                    true,
                    bound(setting.minimum(), Long.MIN_VALUE),
                    bound(setting.maximum(), Long.MAX_VALUE),
                    BigDecimal::longValueExact);
        }
        if (type == double.class || type == Double.class) {
            return new NumberType(
                    false,
                    bound(setting.minimum(), Long.MIN_VALUE),
                    bound(setting.maximum(), Long.MAX_VALUE),
                    BigDecimal::doubleValue);
        }
        throw unsupported(type);
    }

    /**
     * Returns a bound.
     *
     * @param text The text of the bound, or an empty string for none.
     * @param typeBound The bound of the Java type.
     * @return The bound.
     */
    private static BigDecimal bound(String text, long typeBound) {
        return text.isEmpty() ? BigDecimal.valueOf(typeBound) : new BigDecimal(text);
    }

    /**
     * Returns whether a record wraps a name: its only component is a string without a {@link Setting} annotation.
     *
     * @param type The record.
     * @return {@code true} if the record wraps a name.
     */
    private static boolean isName(Class<?> type) {
        RecordComponent[] components = type.getRecordComponents();
        return components.length == 1
                && components[0].getType() == String.class
                && !components[0].isAnnotationPresent(Setting.class);
    }

    /**
     * Creates the exception for a type that settings do not support.
     *
     * @param type The type.
     * @return The exception.
     */
    private static IllegalArgumentException unsupported(Type type) {
        return new IllegalArgumentException("Unsupported type of a setting: " + type);
    }
}
