package io.yuccaswitch.node.peer;

import io.yuccaswitch.core.batch.BatchMessage;
import io.yuccaswitch.core.configuration.ConfigurationMessage;
import io.yuccaswitch.core.duty.DutyMessage;
import io.yuccaswitch.core.endpoint.EndpointMessage;
import io.yuccaswitch.core.lease.LeaseMessage;
import io.yuccaswitch.core.membership.MembershipMessage;
import io.yuccaswitch.core.modelversion.OrderMessage;
import io.yuccaswitch.core.quarantine.QuarantineMessage;
import io.yuccaswitch.core.request.RequestMessage;
import io.yuccaswitch.core.sample.SampleMessage;
import io.yuccaswitch.core.usage.UsageMessage;
import io.yuccaswitch.core.watch.WatchMessage;
import io.yuccaswitch.core.weight.WeightMessage;
import io.yuccaswitch.protocol.PeerMessageRange;
import io.yuccaswitch.protocol.PeerMessageRegistry;

/**
 * The numbers of all messages between nodes. The number of a message never changes, and the number of a message that is
 * no longer sent must not be reused.
 */
public final class PeerMessages {

    /** This class has no instances. */
    private PeerMessages() {}

    /**
     * Creates the registry of all messages.
     *
     * @return The registry.
     */
    public static PeerMessageRegistry registry() {
        PeerMessageRegistry.Builder builder = PeerMessageRegistry.builder();
        registerMembership(builder);
        registerConfiguration(builder);
        registerRequest(builder);
        registerSample(builder);
        registerWeight(builder);
        registerEndpoint(builder);
        builder.register(PeerMessageRange.BATCH, 120, BatchMessage.Ended.class)
                .register(PeerMessageRange.BATCH, 121, BatchMessage.ReadResults.class)
                .register(PeerMessageRange.BATCH, 122, BatchMessage.ResultsRead.class)
                .register(PeerMessageRange.BATCH, 123, BatchMessage.ReadBody.class)
                .register(PeerMessageRange.BATCH, 124, BatchMessage.BodyRead.class)
                .register(PeerMessageRange.BATCH, 125, BatchMessage.ReadDeclined.class)
                .register(PeerMessageRange.BATCH, 126, BatchMessage.StoreResults.class)
                .register(PeerMessageRange.BATCH, 127, BatchMessage.ResultsStored.class)
                .register(PeerMessageRange.BATCH, 128, BatchMessage.EnginesInUse.class)
                .register(PeerMessageRange.BATCH, 129, BatchMessage.HandedOver.class);
        builder.register(PeerMessageRange.WATCH, 140, WatchMessage.Follow.class)
                .register(PeerMessageRange.WATCH, 141, WatchMessage.Changes.class);
        builder.register(PeerMessageRange.QUARANTINE, 160, QuarantineMessage.Update.class)
                .register(PeerMessageRange.QUARANTINE, 161, QuarantineMessage.DigestComparison.class);
        builder.register(PeerMessageRange.USAGE, 180, UsageMessage.ReplicateCounts.class)
                .register(PeerMessageRange.USAGE, 181, UsageMessage.RequestCounts.class)
                .register(PeerMessageRange.USAGE, 182, UsageMessage.Counts.class);
        return builder.build();
    }

    /**
     * Registers the messages of the membership.
     *
     * @param builder The builder to register with.
     */
    private static void registerMembership(PeerMessageRegistry.Builder builder) {
        builder.register(PeerMessageRange.MEMBERSHIP, 1, MembershipMessage.Exchange.class)
                .register(PeerMessageRange.MEMBERSHIP, 2, MembershipMessage.ExchangeAnswer.class)
                .register(PeerMessageRange.MEMBERSHIP, 3, MembershipMessage.Summaries.class)
                .register(PeerMessageRange.MEMBERSHIP, 4, MembershipMessage.Rows.class)
                .register(PeerMessageRange.MEMBERSHIP, 5, MembershipMessage.ProbeRequest.class)
                .register(PeerMessageRange.MEMBERSHIP, 6, MembershipMessage.ProbeSuccess.class)
                .register(PeerMessageRange.MEMBERSHIP, 7, MembershipMessage.LeavingNotification.class);
    }

    /**
     * Registers the messages of the configuration.
     *
     * @param builder The builder to register with.
     */
    private static void registerConfiguration(PeerMessageRegistry.Builder builder) {
        builder.register(PeerMessageRange.CONFIGURATION, 20, ConfigurationMessage.Announcement.class)
                .register(PeerMessageRange.CONFIGURATION, 21, ConfigurationMessage.Pull.class)
                .register(PeerMessageRange.CONFIGURATION, 22, ConfigurationMessage.Content.class);
    }

    /**
     * Registers the messages about requests.
     *
     * @param builder The builder to register with.
     */
    private static void registerRequest(PeerMessageRegistry.Builder builder) {
        builder.register(PeerMessageRange.REQUEST, 40, RequestMessage.Forward.class)
                .register(PeerMessageRange.REQUEST, 41, RequestMessage.Concluded.class)
                .register(PeerMessageRange.REQUEST, 42, RequestMessage.Lookup.class)
                .register(PeerMessageRange.REQUEST, 43, RequestMessage.LookupAnswer.class)
                .register(PeerMessageRange.REQUEST, 44, RequestMessage.ReplicateOutcome.class);
    }

    /**
     * Registers the messages about weight versions and leases.
     *
     * @param builder The builder to register with.
     */
    private static void registerWeight(PeerMessageRegistry.Builder builder) {
        builder.register(PeerMessageRange.WEIGHT, 80, WeightMessage.Published.class)
                .register(PeerMessageRange.WEIGHT, 81, WeightMessage.RecordedVersions.class)
                .register(PeerMessageRange.WEIGHT, 82, WeightMessage.Exchange.class)
                .register(PeerMessageRange.WEIGHT, 90, LeaseMessage.Acting.class)
                .register(PeerMessageRange.WEIGHT, 91, LeaseMessage.Recorded.class)
                .register(PeerMessageRange.WEIGHT, 92, DutyMessage.RenewLease.class)
                .register(PeerMessageRange.WEIGHT, 93, DutyMessage.RenewalAnswered.class)
                .register(PeerMessageRange.WEIGHT, 94, OrderMessage.ReadVersions.class)
                .register(PeerMessageRange.WEIGHT, 95, OrderMessage.VersionsRead.class)
                .register(PeerMessageRange.WEIGHT, 96, DutyMessage.LeaseReleased.class)
                .register(PeerMessageRange.WEIGHT, 97, OrderMessage.LoadAnnounced.class)
                .register(PeerMessageRange.WEIGHT, 98, OrderMessage.LoadEnded.class);
    }

    /**
     * Registers the messages about groups, samples and cursors.
     *
     * @param builder The builder to register with.
     */
    private static void registerSample(PeerMessageRegistry.Builder builder) {
        builder.register(PeerMessageRange.SAMPLE, 60, SampleMessage.Store.class)
                .register(PeerMessageRange.SAMPLE, 61, SampleMessage.Stored.class)
                .register(PeerMessageRange.SAMPLE, 62, SampleMessage.StoreRefused.class)
                .register(PeerMessageRange.SAMPLE, 63, SampleMessage.Keep.class)
                .register(PeerMessageRange.SAMPLE, 64, SampleMessage.Kept.class)
                .register(PeerMessageRange.SAMPLE, 65, SampleMessage.Reconcile.class)
                .register(PeerMessageRange.SAMPLE, 66, SampleMessage.Reconciled.class)
                .register(PeerMessageRange.SAMPLE, 67, SampleMessage.Discarded.class)
                .register(PeerMessageRange.SAMPLE, 68, SampleMessage.Pull.class)
                .register(PeerMessageRange.SAMPLE, 69, SampleMessage.PullAnswered.class)
                .register(PeerMessageRange.SAMPLE, 70, SampleMessage.PullRefused.class)
                .register(PeerMessageRange.SAMPLE, 71, SampleMessage.Acknowledge.class)
                .register(PeerMessageRange.SAMPLE, 72, SampleMessage.QueryCursor.class)
                .register(PeerMessageRange.SAMPLE, 73, SampleMessage.CursorAnswered.class)
                .register(PeerMessageRange.SAMPLE, 74, SampleMessage.Progress.class);
    }

    /**
     * Registers the messages about endpoints.
     *
     * @param builder The builder to register with.
     */
    private static void registerEndpoint(PeerMessageRegistry.Builder builder) {
        builder.register(PeerMessageRange.ENDPOINT, 100, EndpointMessage.Leaving.class)
                .register(PeerMessageRange.ENDPOINT, 101, EndpointMessage.Listed.class)
                .register(PeerMessageRange.ENDPOINT, 102, EndpointMessage.ListedQuery.class);
    }
}
