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

/** Returns the entry addresses of live nodes, those in the caller's availability zone first, without leaving nodes. */
final class EntryAddressRoute {

    /** The loop of the decision core. */
    private final DecisionLoop loop;

    /** The members, which are read on the loop's thread. */
    private final MembershipView membership;

    /** The clock that computes the windows of request ids. */
    private final RequestClock clock;

    /** Supplies the active configuration. */
    private final Supplier<FleetConfiguration> configuration;

    /**
     * Creates a new route.
     *
     * @param loop The loop of the decision core.
     * @param membership The members.
     * @param clock The clock that computes the windows of request ids.
     * @param configuration Supplies the active configuration.
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
        FleetConfiguration active = configuration.get();
        Optional<String> zone = Optional.ofNullable(context.queryParam("availabilityZone"));
        CompletableFuture<List<Member>> members = loop.inspect(() -> List.copyOf(membership.working()));
        context.future(() -> members.thenAccept(working -> context.contentType("application/json")
                .result(EntryJson.write(
                        new EntryAddresses(active.entry().addressValidity().toMillis(), addresses(working, zone))))));
    }

    /**
     * Sorts the addresses.
     *
     * @param working The members that accept work.
     * @param zone The caller's availability zone, or empty if the caller did not specify one.
     * @return The addresses.
     */
    private List<EntryAddresses.Address> addresses(Collection<Member> working, Optional<String> zone) {
        Comparator<Member> callerZoneFirst = Comparator.comparing(
                member -> !zone.equals(Optional.of(member.availabilityZone().value())));
        return working.stream()
                .sorted(callerZoneFirst.thenComparing(Member::identity))
                .map(member -> new EntryAddresses.Address(
                        member.entryAddress(),
                        member.identity().name().value(),
                        member.availabilityZone().value(),
                        clock.prefix(member.identity(), DecisionLoop.now())))
                .toList();
    }
}
