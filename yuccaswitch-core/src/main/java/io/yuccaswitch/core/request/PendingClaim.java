package io.yuccaswitch.core.request;

/**
 * A row of the table of pending claims.
 *
 * @param id The identifier of the request.
 * @param claim The claim.
 * @param writes The number of writes sent so far.
 */
record PendingClaim(RequestId id, RequestClaim claim, int writes) {

    /**
     * Returns this claim after another write.
     *
     * @return The changed claim.
     */
    PendingClaim afterWrite() {
        return new PendingClaim(id, claim, writes + 1);
    }
}
