package io.yuccaswitch.node.entry;

import io.javalin.http.Context;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.request.RequestClock;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Names the entry addresses to use: live nodes, the caller's availability zone first. A leaving node is not named. */
final class EntryAddressRoute {

    /** The loop whose table of members is read. */
    private final DecisionLoop loop;

    /** The members, read on the loop's thread. */
    private final MembershipView membership;

    /** The clock that counts the windows of request ids. */
    private final RequestClock clock;

    /** Returns the configuration in force. */
    private final Supplier<FleetConfiguration> configuration;

    /**
     * Creates a new route.
     *
     * @param loop The loop whose table of members is read.
     * @param membership The members.
     * @param clock The clock that counts the windows of request ids.
     * @param configuration Returns the configuration in force.
     */
    EntryAddressRoute(
            DecisionLoop loop,
            MembershipView membership,
            RequestClock clock,
            Supplier<FleetConfiguration> configuration) {
        this.loop = loop;
        this.membership = membership;
        this.clock = clock;
        this.configuration = configuration;
    }

    /**
     * Answers with the entry addresses.
     *
     * @param context The request.
     */
    void handle(Context context) {
        FleetConfiguration inForce = configuration.get();
        Optional<String> zone = Optional.ofNullable(context.queryParam("availabilityZone"));
        CompletableFuture<List<Member>> members = loop.inspect(() -> List.copyOf(membership.working()));
        context.future(() -> members.thenAccept(working -> context.contentType("application/json")
                .result(EntryJson.write(
                        new EntryAddresses(inForce.entry().addressValidity().toMillis(), addresses(working, zone))))));
    }

    /**
     * Orders the addresses.
     *
     * @param working The members that take work.
     * @param zone The caller's availability zone, or empty if it did not say.
     * @return The addresses.
     */
    private List<EntryAddresses.Address> addresses(Collection<Member> working, Optional<String> zone) {
        Comparator<Member> ownZoneFirst = Comparator.comparing(
                member -> !zone.equals(Optional.of(member.availabilityZone().value())));
        return working.stream()
                .sorted(ownZoneFirst.thenComparing(Member::identity))
                .map(member -> new EntryAddresses.Address(
                        member.entryAddress(),
                        member.identity().name().value(),
                        member.availabilityZone().value(),
                        clock.prefix(member.identity(), DecisionLoop.now())))
                .toList();
    }
}
