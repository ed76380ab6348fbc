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

    /** The first path segment of objects. */
    private static final String OBJECTS = "objects";

    /** The header that contains the token. */
    private static final String AUTHORIZATION = "Authorization";

    /** The prefix of the token in its header. */
    private static final String BEARER = "Bearer ";

    /** The media type of values. */
    private static final MediaType BYTES = MediaType.get("application/octet-stream");

    /** The platform's address. */
    private final HttpUrl address;

    /** The bearer token, if any. */
    private final Optional<String> token;

    /** The wait time of a watch that does not specify one. */
    private final Duration watchWait;

    /**
     * Creates a builder of requests.
     *
     * @param settings The settings of the client.
     * @throws IllegalArgumentException If the address or the token is not valid in a request.
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
     * @param probe Whether the call is a probe. A watch that is a probe does not wait.
     * @return The request.
     */
    Request build(PlatformEffect effect, boolean probe) {
        Request.Builder request = new Request.Builder();
        token.ifPresent(text -> request.header(AUTHORIZATION, BEARER + text));
        if (effect instanceof PlatformEffect.Read read) {
            request.url(objectUrl(read.key()));
        } else if (effect instanceof PlatformEffect.ListKind list) {
            request.url(kindUrl(OBJECTS, list.kind()).build());
        } else if (effect instanceof PlatformEffect.Write write) {
            addCondition(request, write.expectedVersion());
            request.url(objectUrl(write.key()))
                    .put(RequestBody.create(write.value().unsafeArray(), BYTES));
        } else if (effect instanceof PlatformEffect.Delete delete) {
            addCondition(request, OptionalLong.of(delete.expectedVersion()));
            request.url(objectUrl(delete.key())).delete();
        } else if (effect instanceof PlatformEffect.Watch watch) {
            request.url(
                    watchUrl(watch, probe ? Duration.ZERO : watch.watchTimeout().orElse(watchWait)));
        } else {
            request.url(address.newBuilder().addPathSegment("virtual-machines").build());
        }
        return request.build();
    }

    /**
     * Builds the URL of an object.
     *
     * @param key The object's key.
     * @return The URL.
     */
    private HttpUrl objectUrl(ObjectKey key) {
        return kindUrl(OBJECTS, key.kind()).addPathSegment(key.name()).build();
    }

    /**
     * Builds the URL of a watch.
     *
     * @param watch The watch.
     * @param waitTime The time for which the watch waits.
     * @return The URL.
     */
    private HttpUrl watchUrl(PlatformEffect.Watch watch, Duration waitTime) {
        return kindUrl("watch", watch.kind())
                .addQueryParameter("after", Long.toString(watch.afterVersion()))
                .addQueryParameter("waitMillis", Long.toString(waitTime.toMillis()))
                .build();
    }

    /**
     * Creates a URL builder for a kind.
     *
     * @param root The first path segment.
     * @param kind The kind.
     * @return The URL builder.
     */
    private HttpUrl.Builder kindUrl(String root, String kind) {
        return address.newBuilder().addPathSegment(root).addPathSegment(kind);
    }

    /**
     * Adds the precondition of a write.
     *
     * @param request The request to add it to.
     * @param expected The version that the object must have, or empty if it must not exist.
     */
    private static void addCondition(Request.Builder request, OptionalLong expected) {
        if (expected.isPresent()) {
            request.header("If-Match", Long.toString(expected.getAsLong()));
        } else {
            request.header("If-None-Match", "*");
        }
    }
}
