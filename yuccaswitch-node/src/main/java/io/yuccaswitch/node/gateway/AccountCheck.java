package io.yuccaswitch.node.gateway;

import com.codahale.metrics.MetricRegistry;
import io.javalin.http.Context;
import io.yuccaswitch.core.account.ClientAccount;
import io.yuccaswitch.core.account.Credential;
import io.yuccaswitch.core.route.Route;
import io.yuccaswitch.core.route.RouteConfiguration;
import io.yuccaswitch.node.BearerCredential;
import java.io.IOException;
import java.util.Collections;
import java.util.Locale;
import java.util.Optional;
import org.jboss.logging.Logger;

/** Determines the accounts of requests, and rejects requests without a valid account key. */
final class AccountCheck {

    /** The status of a request without a valid key. */
    private static final int UNAUTHORIZED = 401;

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger("io.yuccaswitch.request");

    /** The metrics. */
    private final MetricRegistry metrics;

    /**
     * Creates a check.
     *
     * @param metrics The metrics.
     */
    AccountCheck(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /**
     * Determines the account of a request on a route, and answers the request if it is rejected.
     *
     * @param context The request.
     * @param caller The caller.
     * @param configuration The active configuration.
     * @param route The route.
     * @return The account, or empty if the caller was rejected.
     * @throws IOException If the caller can't be answered.
     */
    Optional<ClientAccount> admit(Context context, CallerResponse caller, RouteConfiguration configuration, Route route)
            throws IOException {
        Credential credential = credential(context);
        return orReject(configuration.authenticate(credential, route), caller, credential, configuration.version());
    }

    /**
     * Determines the account of a call about a batch job, and answers the call if it is rejected.
     *
     * @param context The call.
     * @param caller The caller.
     * @param configuration The active configuration.
     * @return The account, or empty if the caller was rejected.
     * @throws IOException If the caller can't be answered.
     */
    Optional<ClientAccount> admitBatchCall(Context context, CallerResponse caller, RouteConfiguration configuration)
            throws IOException {
        Credential credential = credential(context);
        String host = Optional.ofNullable(context.header("Host")).orElse("");
        return orReject(
                configuration.authenticateBatchCall(credential, host), caller, credential, configuration.version());
    }

    /**
     * Answers a request without an account as rejected.
     *
     * @param account The account of the request, or empty to reject it.
     * @param caller The caller.
     * @param credential The credential that the request presented.
     * @param version The version of the configuration that was applied.
     * @return The account.
     * @throws IOException If the caller can't be answered.
     */
    private Optional<ClientAccount> orReject(
            Optional<ClientAccount> account, CallerResponse caller, Credential credential, long version)
            throws IOException {
        if (account.isEmpty()) {
            String presented = credential.getClass().getSimpleName().toLowerCase(Locale.ROOT);
            metrics.counter("gateway.unauthorized." + presented).inc();
            LOGGER.infof("event=unauthorized credential=%s configuration=%d", presented, version);
            caller.answerText(
                    UNAUTHORIZED, "the request has not run: it carries no valid account key", Optional.empty());
        }
        return account;
    }

    /**
     * Reads the credential of a request.
     *
     * @param context The request.
     * @return The credential.
     */
    private static Credential credential(Context context) {
        return BearerCredential.read(Collections.list(context.req().getHeaders(BearerCredential.HEADER)));
    }
}
