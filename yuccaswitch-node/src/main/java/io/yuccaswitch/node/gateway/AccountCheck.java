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

/** Finds out whose requests are, and turns away those that bear no key of an account. */
final class AccountCheck {

    /** The status of a request without a known key. */
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
     * Finds out whose a request on a route is, and answers it if it is turned away.
     *
     * @param context The request.
     * @param caller The caller.
     * @param configuration The configuration in force.
     * @param route The route.
     * @return Whose it is, or empty if it was turned away.
     * @throws IOException If the caller can't be answered.
     */
    Optional<ClientAccount> admit(Context context, CallerResponse caller, RouteConfiguration configuration, Route route)
            throws IOException {
        Credential credential = credential(context);
        return orTurnAway(configuration.authenticate(credential, route), caller, credential, configuration.version());
    }

    /**
     * Finds out whose a call about a batch job is, and answers it if it is turned away.
     *
     * @param context The call.
     * @param caller The caller.
     * @param configuration The configuration in force.
     * @return Whose it is, or empty if it was turned away.
     * @throws IOException If the caller can't be answered.
     */
    Optional<ClientAccount> admitBatchCall(Context context, CallerResponse caller, RouteConfiguration configuration)
            throws IOException {
        Credential credential = credential(context);
        String host = Optional.ofNullable(context.header("Host")).orElse("");
        return orTurnAway(
                configuration.authenticateBatchCall(credential, host), caller, credential, configuration.version());
    }

    /**
     * Answers a request that is turned away.
     *
     * @param account Whose the request is, or empty.
     * @param caller The caller.
     * @param credential What the request presented.
     * @param version The version of the configuration that decided.
     * @return The account.
     * @throws IOException If the caller can't be answered.
     */
    private Optional<ClientAccount> orTurnAway(
            Optional<ClientAccount> account, CallerResponse caller, Credential credential, long version)
            throws IOException {
        if (account.isEmpty()) {
            String presented = credential.getClass().getSimpleName().toLowerCase(Locale.ROOT);
            metrics.counter("gateway.unauthorized." + presented).inc();
            LOGGER.infof("event=unauthorized credential=%s configuration=%d", presented, version);
            caller.answerText(UNAUTHORIZED, "the request has not run: it bears no key of an account", Optional.empty());
        }
        return account;
    }

    /**
     * Reads what a request presents.
     *
     * @param context The request.
     * @return What it presents.
     */
    private static Credential credential(Context context) {
        return BearerCredential.read(Collections.list(context.req().getHeaders(BearerCredential.HEADER)));
    }
}
