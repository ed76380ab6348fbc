package io.yuccaswitch.core.configuration;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Describes a key of the settings on the record component that holds its value. The settings module decodes records
 * strictly by these annotations and prints the reference of all keys from them. Components may be of the types
 * {@code boolean}, {@code int}, {@code long}, {@code double}, {@link String}, {@link java.time.Duration} (written as
 * {@code "250ms"}, {@code "30s"}, {@code "5m"} or {@code "1h"}), enumerations (written in lower case with hyphens), the
 * name records of {@code io.yuccaswitch.core.identity}, other records of settings, {@link java.util.Optional},
 * {@link java.util.List} of these, and {@link java.util.Map} from names or text to these.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Setting {

    /**
     * Returns the description of the setting as a full sentence.
     *
     * @return The description.
     */
    String description();

    /**
     * Returns the default as it would be written in a file without its quotes. An empty default means that the key is
     * required, except for optional values, lists and maps, which default to empty, and records of settings, which
     * default to a record of defaults.
     *
     * @return The default.
     */
    String defaultValue() default "";

    /**
     * Returns the minimum value in the type's own unit; for durations as {@code "10ms"}.
     *
     * @return The lower bound, or an empty text for none.
     */
    String minimum() default "";

    /**
     * Returns the maximum value in the type's own unit; for durations as {@code "1h"}.
     *
     * @return The upper bound, or an empty text for none.
     */
    String maximum() default "";

    /**
     * Returns the unit of a number, such as {@code bytes/s}.
     *
     * @return The unit, or an empty text for none.
     */
    String unit() default "";

    /**
     * Returns the name of the top-level map of the configuration, such as {@code pools}, in which the value must be a
     * key.
     *
     * @return The name of the map, or an empty text if the value refers to nothing.
     */
    String references() default "";
}
