package io.yuccaswitch.platform;

import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import okhttp3.Headers;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;

/** Builds the requests of the object API. */
final class PlatformRequests {

    /** The first segment of the paths of objects. */
    private static final String OBJECTS = "objects";

    /** The header that bears the token. */
    private static final String AUTHORIZATION = "Authorization";

    /** What precedes the token in its header. */
    private static final String BEARER = "Bearer ";

    /** The media type of values. */
    private static final MediaType BYTES = MediaType.get("application/octet-stream");

    /** The platform's address. */
    private final HttpUrl address;

    /** The bearer token, if any. */
    private final Optional<String> token;

    /** The time for which a watch waits. */
    private final Duration watchWait;

    /**
     * Creates a builder of requests.
     *
     * @param settings The settings of the client.
     * @throws IllegalArgumentException If the address or the token can't be part of a request.
     */
    PlatformRequests(PlatformClientSettings settings) {
        address = HttpUrl.get(settings.address());
        token = settings.token();
        token.ifPresent(text -> Headers.of(AUTHORIZATION, BEARER + text));
        watchWait = settings.watchWait();
    }

    /**
     * Builds the request of a call.
     *
     * @param effect The call.
     * @param probe Whether the call is a probe, such that a watch must not wait.
     * @return The request.
     */
    Request build(PlatformEffect effect, boolean probe) {
        Request.Builder request = new Request.Builder();
        token.ifPresent(text -> request.header(AUTHORIZATION, BEARER + text));
        if (effect instanceof PlatformEffect.Read read) {
            request.url(object(read.key()));
        } else if (effect instanceof PlatformEffect.ListKind list) {
            request.url(kind(OBJECTS, list.kind()).build());
        } else if (effect instanceof PlatformEffect.Write write) {
            condition(request, write.expectedVersion());
            request.url(object(write.key()))
                    .put(RequestBody.create(write.value().unsafeArray(), BYTES));
        } else if (effect instanceof PlatformEffect.Delete delete) {
            condition(request, OptionalLong.of(delete.expectedVersion()));
            request.url(object(delete.key())).delete();
        } else if (effect instanceof PlatformEffect.Watch watch) {
            request.url(watch(watch, probe ? Duration.ZERO : watch.waitTime().orElse(watchWait)));
        } else {
            request.url(address.newBuilder().addPathSegment("virtual-machines").build());
        }
        return request.build();
    }

    /**
     * Builds the address of an object.
     *
     * @param key The object's key.
     * @return The address.
     */
    private HttpUrl object(ObjectKey key) {
        return kind(OBJECTS, key.kind()).addPathSegment(key.name()).build();
    }

    /**
     * Builds the address of a watch.
     *
     * @param watch The watch.
     * @param wait The time for which it waits.
     * @return The address.
     */
    private HttpUrl watch(PlatformEffect.Watch watch, Duration wait) {
        return kind("watch", watch.kind())
                .addQueryParameter("after", Long.toString(watch.afterVersion()))
                .addQueryParameter("waitMillis", Long.toString(wait.toMillis()))
                .build();
    }

    /**
     * Begins the address of a kind.
     *
     * @param root The first segment of the path.
     * @param kind The kind.
     * @return The builder of the address.
     */
    private HttpUrl.Builder kind(String root, String kind) {
        return address.newBuilder().addPathSegment(root).addPathSegment(kind);
    }

    /**
     * Adds the condition of a write.
     *
     * @param request The request to add it to.
     * @param expected The version that the object must have, or empty if it must not exist.
     */
    private static void condition(Request.Builder request, OptionalLong expected) {
        if (expected.isPresent()) {
            request.header("If-Match", Long.toString(expected.getAsLong()));
        } else {
            request.header("If-None-Match", "*");
        }
    }
}
