package io.yuccaswitch.node.gateway;

import io.yuccaswitch.endpoint.SendableTarget;
import jakarta.servlet.http.HttpServletRequest;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpURI;

/**
 * Refuses requests of callers that have no single meaning, such that an endpoint could read them in another way than
 * this node. The server has refused most malformed requests before.
 */
final class RequestValidation {

    /** The code of a request whose headers contradict each other or can't be sent. */
    private static final String MALFORMED_HEADER = "malformed-header";

    /** The code of a request whose body can't be delimited. */
    private static final String MALFORMED_BODY = "malformed-body";

    /** The code of a request whose target can't be sent unchanged. */
    private static final String MALFORMED_TARGET = "malformed-target";

    /** The code of a request without a valid identifier. */
    private static final String MALFORMED_IDENTIFIER = "malformed-identifier";

    /** The header that states the coding of a body. */
    private static final String TRANSFER_ENCODING = "Transfer-Encoding";

    /** The only coding of bodies. */
    private static final String CHUNKED = "chunked";

    /** The version of the protocol without codings. */
    private static final String VERSION_WITHOUT_CODINGS = "HTTP/1.0";

    /** The methods whose requests the client library sends without a body. */
    private static final Set<String> BODILESS_METHODS = Set.of("GET", "HEAD");

    /** The headers that never concern only one connection, besides those of the dialect, in lower case. */
    private static final Set<String> END_TO_END_HEADERS =
            Set.of("host", "content-length", "content-type", "content-encoding", "authorization");

    /** The dialect of callers. */
    private final CallerDialect callers;

    /**
     * Creates a validation.
     *
     * @param callers The dialect of callers.
     */
    RequestValidation(CallerDialect callers) {
        this.callers = callers;
    }

    /**
     * Validates the headers of a request.
     *
     * @param request The request.
     * @throws MalformedCallException If they have no single meaning.
     */
    void requireValidHeaders(HttpServletRequest request) {
        List<String> codings = Collections.list(request.getHeaders(TRANSFER_ENCODING));
        boolean isChunked = codings.size() == 1 && codings.get(0).equalsIgnoreCase(CHUNKED);
        if (!codings.isEmpty() && (!isChunked || request.getProtocol().equals(VERSION_WITHOUT_CODINGS))) {
            throw new MalformedCallException(MALFORMED_BODY, "header Transfer-Encoding: only chunked is supported");
        }
        Set<String> connectionHeaders = connectionHeaders(request);
        for (String name : callers.singleHeaders()) {
            if (Collections.list(request.getHeaders(name)).size() > 1) {
                throw new MalformedCallException(MALFORMED_HEADER, "header " + name + ": there are several");
            }
            requireUnlisted(name.toLowerCase(Locale.ROOT), connectionHeaders);
        }
        END_TO_END_HEADERS.forEach(name -> requireUnlisted(name, connectionHeaders));
    }

    /**
     * Validates what can be forwarded of a plain request.
     *
     * @param request The request.
     * @param target Its path with the query.
     * @param bodySize The size of its body in bytes.
     * @throws MalformedCallException If the request can't be forwarded unchanged.
     */
    void requireForwardable(HttpServletRequest request, String target, int bodySize) {
        String id = Optional.ofNullable(request.getHeader(callers.requestIdHeader()))
                .orElse("");
        if (!SendableHeaders.isIdentifier(id)) {
            throw new MalformedCallException(
                    MALFORMED_IDENTIFIER,
                    "header " + callers.requestIdHeader() + ": not 1 to 256 visible ASCII characters");
        }
        Optional<String> flaw = hasFragmentOrOtherScheme(request)
                ? Optional.of("the target has a fragment or another scheme than http")
                : SendableTarget.flaw(target);
        if (flaw.isPresent()) {
            throw new MalformedCallException(MALFORMED_TARGET, flaw.get());
        }
        if (bodySize > 0 && BODILESS_METHODS.contains(request.getMethod())) {
            throw new MalformedCallException(
                    MALFORMED_BODY, "a request with method " + request.getMethod() + " can't have a body");
        }
    }

    /**
     * Returns the names of the headers that concern only the connection of a caller, by its own statement.
     *
     * @param request The request.
     * @return The names in lower case.
     */
    static Set<String> connectionHeaders(HttpServletRequest request) {
        return Collections.list(request.getHeaders("Connection")).stream()
                .flatMap(value -> List.of(value.split(",", -1)).stream())
                .map(name -> name.strip().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
    }

    /**
     * Returns whether the body of a request can't be read because it is malformed, rather than because the caller has
     * disconnected.
     *
     * @param failure The failure of reading it.
     * @return {@code true} if the server reported a malformed message.
     */
    static boolean isMalformed(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof HttpException) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the refusal of a request whose body is malformed.
     *
     * @return The exception to throw.
     */
    static MalformedCallException malformedBody() {
        return new MalformedCallException(MALFORMED_BODY, "the body is not framed as stated");
    }

    /**
     * Returns whether a target has a part that is not forwarded.
     *
     * @param request The request.
     * @return {@code true} if it has a fragment, or states another scheme than that of the connection.
     */
    private static boolean hasFragmentOrOtherScheme(HttpServletRequest request) {
        HttpURI target = ServletContextRequest.getServletContextRequest(request).getHttpURI();
        return target.getFragment() != null || !request.getScheme().equals("http");
    }

    /**
     * Requires that a caller does not declare a header to concern only its connection.
     *
     * @param name The name in lower case.
     * @param connectionHeaders The names that the caller declared to.
     */
    private static void requireUnlisted(String name, Set<String> connectionHeaders) {
        if (connectionHeaders.contains(name)) {
            throw new MalformedCallException(
                    MALFORMED_HEADER, "header Connection: " + name + " does not concern only one connection");
        }
    }
}
