package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.platform.StoredObject;
import java.util.List;
import java.util.OptionalLong;

/** A message by which nodes relay the state of the platform's objects. */
public sealed interface WatchMessage extends PeerMessage {

    /** The version of a node that has no state of a kind. */
    long UNKNOWN_VERSION = -1;

    /**
     * Requests the changes of a kind after a version. The receiver answers as soon as it has any or loses contact with
     * the platform, and at the latest after the given time.
     *
     * @param kind The kind of the objects.
     * @param number The number of the request, which the answer repeats.
     * @param version The version up to which the sender's state is complete, or {@link #UNKNOWN_VERSION}.
     * @param holdMillis How long the receiver may hold the request, in milliseconds.
     * @param wantsConfirmation Whether the receiver also answers once the platform has confirmed that nothing changed.
     */
    record Follow(String kind, long number, long version, long holdMillis, boolean wantsConfirmation)
            implements WatchMessage {}

    /**
     * Answers a request for changes.
     *
     * @param kind The kind of the objects.
     * @param number The number of the request.
     * @param requestVersion The version of the request. Request numbers of nodes of earlier releases restart with the
     *     node, so the answer repeats both.
     * @param inContact Whether the sender watches the kind at the platform, and the platform answers.
     * @param heldMillis How long the request was held, in milliseconds.
     * @param confirmedAgeMillis The time since the sender's state was last guaranteed to be complete, in milliseconds.
     *     Empty if the sender has no state.
     * @param version The version up to which the objects are complete.
     * @param complete {@code true} if these are all existing objects, {@code false} if they are the changes after the
     *     version of the request.
     * @param objects The objects, in the order of their versions.
     * @param kindAges The age of the sender's state for each kind, if the request wants confirmation.
     */
    record Changes(
            String kind,
            long number,
            long requestVersion,
            boolean inContact,
            long heldMillis,
            OptionalLong confirmedAgeMillis,
            long version,
            boolean complete,
            List<StoredObject> objects,
            List<KindAge> kindAges)
            implements WatchMessage {}

    /**
     * The age of a node's state for one kind.
     *
     * @param kind The kind.
     * @param changedAt The version of the latest change that the node has received.
     * @param confirmedAgeMillis The time since the node's state was last guaranteed to be complete, in milliseconds.
     */
    record KindAge(String kind, long changedAt, long confirmedAgeMillis) {}
}
