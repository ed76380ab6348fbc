package io.yuccaswitch.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.Version;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.cfg.MapperConfig;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.NopAnnotationIntrospector;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.databind.jsontype.TypeResolverBuilder;
import com.fasterxml.jackson.databind.jsontype.impl.StdTypeResolverBuilder;
import io.yuccaswitch.core.peer.PeerMessage;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Defines the wire format of the core's types for Jackson, without annotations in the core: a record is written as an
 * array of its components, and a value of a sealed interface as a pair of its record's simple name and the record.
 * Components may therefore only be added at the end of a record that is already in use, and no record may be renamed.
 */
final class SealedTypeIntrospector extends NopAnnotationIntrospector {

    /** The version of the serialized form of this class, which is never used. */
    private static final long serialVersionUID = 1L;

    /** {@inheritDoc} */
    @Override
    public Version version() {
        return Version.unknownVersion();
    }

    /** {@inheritDoc} */
    @Override
    public JsonFormat.Value findFormat(Annotated annotated) {
        return annotated instanceof AnnotatedClass && annotated.getRawType().isRecord()
                ? JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY)
                : null;
    }

    /** {@inheritDoc} */
    @Override
    public TypeResolverBuilder<?> findTypeResolver(MapperConfig<?> _config, AnnotatedClass type, JavaType _baseType) {
        if (!isNamed(type.getRawType())) {
            return null;
        }
        return new StdTypeResolverBuilder().init(JsonTypeInfo.Id.NAME, null).inclusion(JsonTypeInfo.As.WRAPPER_ARRAY);
    }

    /** {@inheritDoc} */
    @Override
    public List<NamedType> findSubtypes(Annotated annotated) {
        if (!annotated.getRawType().isSealed()) {
            return null;
        }
        List<NamedType> types = new ArrayList<>();
        collect(annotated.getRawType(), types);
        return types;
    }

    /** {@inheritDoc} */
    @Override
    public String findTypeName(AnnotatedClass type) {
        return isNamed(type.getRawType()) ? type.getRawType().getSimpleName() : null;
    }

    /**
     * Collects the records of a sealed interface and of its sealed subinterfaces.
     *
     * @param parent The sealed interface.
     * @param types The list to add to.
     */
    private static void collect(Class<?> parent, List<NamedType> types) {
        for (Class<?> type : parent.getPermittedSubclasses()) {
            if (type.isSealed()) {
                collect(type, types);
            } else {
                types.add(new NamedType(type, type.getSimpleName()));
            }
        }
    }

    /**
     * Returns whether a type is written with its name, which applies to sealed interfaces and their implementations.
     * Messages themselves have a number in the registry, and need no name on the wire.
     *
     * @param type The type.
     * @return {@code true} if the type is written with its name.
     */
    private static boolean isNamed(Class<?> type) {
        if (PeerMessage.class.isAssignableFrom(type)) {
            return false;
        }
        return type.isSealed() || Arrays.stream(type.getInterfaces()).anyMatch(Class::isSealed);
    }
}
