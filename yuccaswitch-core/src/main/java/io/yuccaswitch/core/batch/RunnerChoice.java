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
 * Decides which node runs a batch job: where all VMs are alike, the one that it was submitted to, which is any, as
 * callers choose by lot. Where they differ, one of the strong ones, and the same one for all jobs of a model. The
 * events of a job's items come at once over as many connections as it has items, which a weak VM takes twice as long to
 * read. As the next job of the model comes to the same node, connections are open and code is compiled. Models have
 * different nodes as far as there are enough.
 */
final class RunnerChoice {

    /** The share of the strongest VM's capacity from which on a VM is strong. */
    private static final double STRONG_SHARE = 0.7;

    /** The nodes of the site. */
    private final MembershipView membership;

    /** The configuration, which names the models. */
    private final RouteConfigurationSystem routes;

    /**
     * Creates a choice.
     *
     * @param membership The nodes of the site.
     * @param routes The configuration, which names the models.
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
        List<Member> near = membership.working().stream()
                .filter(member -> member.condition() == MemberCondition.ALIVE)
                .filter(member -> member.region().equals(self.region()))
                .toList();
        int most = near.stream().mapToInt(Member::capacity).max().orElse(0);
        List<Member> strong = near.stream()
                .filter(member -> member.capacity() >= STRONG_SHARE * most)
                .toList();
        if (strong.isEmpty() || strong.size() == near.size()) {
            return self.identity().name();
        }
        return assigned(job.model(), strong);
    }

    /**
     * Returns the node that runs the jobs of a model. All nodes that know the same members and models find the same
     * one.
     *
     * @param model The model.
     * @param strong The nodes to choose from.
     * @return The node.
     */
    private NodeName assigned(String model, List<Member> strong) {
        Set<String> models = new TreeSet<>();
        routes.inForce().ifPresent(found -> found.models().values().forEach(models::addAll));
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
