package io.yuccaswitch.core.proxy;

/**
 * The load that an endpoint reported with an answer.
 *
 * @param running The number of requests that are running.
 * @param waiting The number of requests that are queued.
 * @param slowness How long work takes on the endpoint's VM at the moment, as a multiple of the usual time. It is 1 if
 *     the endpoint does not report it.
 */
public record ReportedLoad(int running, int waiting, double slowness) {

    /** Validates the numbers. */
    public ReportedLoad {
        if (running < 0 || waiting < 0 || !(slowness > 0)) {
            throw new IllegalArgumentException(
                    "Invalid load: running " + running + " waiting " + waiting + " slowness " + slowness);
        }
    }

    /**
     * Returns the number of requests at the endpoint.
     *
     * @return The number of running and queued requests.
     */
    public int requests() {
        return running + waiting;
    }
}
