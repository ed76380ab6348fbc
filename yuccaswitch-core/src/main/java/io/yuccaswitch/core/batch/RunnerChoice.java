package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.membership.RendezvousRanking;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Chooses the node that runs a batch job. If all VMs have the same capacity, it is the node that the job was submitted
 * to, which is a random one, as callers choose nodes at random. If capacities differ, it is one of the strong nodes,
 * and the same one for all jobs of a model. The events of a job's items arrive at the same time over as many
 * connections as it has items, and a weak VM takes twice as long to read them. As the next job of the model goes to the
 * same node, its connections are already open and its code is already compiled. Models use different nodes as long as
 * there are enough.
 */
final class RunnerChoice {

    /** The minimum share of the strongest VM's capacity at which a VM is considered strong. */
    private static final double STRONG_CAPACITY_SHARE = 0.7;

    /** The nodes of the site. */
    private final MembershipView membership;

    /** The configuration of routes, which lists the models. */
    private final RouteConfigurationSystem routes;

    /**
     * Creates a choice.
     *
     * @param membership The nodes of the site.
     * @param routes The configuration of routes, which lists the models.
     */
    RunnerChoice(MembershipView membership, RouteConfigurationSystem routes) {
        this.membership = membership;
        this.routes = routes;
    }

    /**
     * Chooses the runner of a job.
     *
     * @param job The job.
     * @return The node, which may be this one.
     */
    NodeName choose(BatchJob job) {
        Member self = membership.self();
        List<Member> sameRegion = membership.working().stream()
                .filter(member -> member.condition() == MemberCondition.ALIVE)
                .filter(member -> member.region().equals(self.region()))
                .toList();
        int maximumCapacity =
                sameRegion.stream().mapToInt(Member::capacity).max().orElse(0);
        List<Member> strong = sameRegion.stream()
                .filter(member -> member.capacity() >= STRONG_CAPACITY_SHARE * maximumCapacity)
                .toList();
        if (strong.isEmpty() || strong.size() == sameRegion.size()) {
            return self.identity().name();
        }
        return assigned(job.model(), strong);
    }

    /**
     * Returns the node that runs the jobs of a model. All nodes with the same members and models choose the same one.
     *
     * @param model The model.
     * @param strong The nodes to choose from.
     * @return The node.
     */
    private NodeName assigned(String model, List<Member> strong) {
        Set<String> models = new TreeSet<>();
        routes.active().ifPresent(found -> found.models().values().forEach(models::addAll));
        models.add(model);
        Set<NodeName> taken = new HashSet<>();
        for (String next : models) {
            List<NodeName> ranked = RendezvousRanking.rank(next, strong).stream()
                    .map(member -> member.identity().name())
                    .toList();
            if (taken.size() == strong.size()) {
                taken.clear();
            }
            NodeName chosen = ranked.stream()
                    .filter(name -> !taken.contains(name))
                    .findFirst()
                    .orElseGet(() -> ranked.get(0));
            if (next.equals(model)) {
                return chosen;
            }
            taken.add(chosen);
        }
        return membership.self().identity().name();
    }
}
