package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.platform.StoredObject;
import java.util.List;
import java.util.OptionalLong;

/** A message by which nodes hand on what they learn of the platform's objects. */
public sealed interface WatchMessage extends PeerMessage {

    /** The version of a node that knows no object of a kind. */
    long UNKNOWN_VERSION = -1;

    /**
     * Asks for the changes of a kind behind a version. The receiver answers as soon as it knows any or loses the
     * platform, and after the told time in any case.
     *
     * @param kind The kind of the objects.
     * @param number The number of the request, which the answer bears.
     * @param version The version up to which the sender knows all changes, or {@link #UNKNOWN_VERSION}.
     * @param holdMillis How long the receiver may hold the request, in milliseconds.
     * @param wantsConfirmation Whether the receiver answers too once the platform has told it that nothing changed.
     */
    record Follow(String kind, long number, long version, long holdMillis, boolean wantsConfirmation)
            implements WatchMessage {}

    /**
     * Answers a request for changes.
     *
     * @param kind The kind of the objects.
     * @param number The number of the request.
     * @param behind The version of the request. Numbers begin anew when a node restarts, so the answer bears both.
     * @param inContact Whether the sender watches the kind at the platform, and the platform answers it.
     * @param heldMillis How long the request was held, in milliseconds.
     * @param confirmedAgeMillis How old what the sender knows is, in milliseconds: how long ago the platform surely
     *     held nothing beyond it. Empty if it knows nothing.
     * @param version The version up to which the objects are complete.
     * @param complete {@code true} if these are all objects there are, {@code false} if they are the changes behind the
     *     version of the request.
     * @param objects The objects, in the order of their versions.
     * @param kinds How old what the sender knows of each kind is, where the request wants confirmation.
     */
    record Changes(
            String kind,
            long number,
            long behind,
            boolean inContact,
            long heldMillis,
            OptionalLong confirmedAgeMillis,
            long version,
            boolean complete,
            List<StoredObject> objects,
            List<KindAge> kinds)
            implements WatchMessage {}

    /**
     * How old what a node knows of a kind is.
     *
     * @param kind The kind.
     * @param changedAt The version of the latest change that it knows.
     * @param confirmedAgeMillis How long ago the platform surely held nothing beyond that, in milliseconds.
     */
    record KindAge(String kind, long changedAt, long confirmedAgeMillis) {}
}
