package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.peer.PeerMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Queries the runners of jobs for results and bodies, which saves calls to the platform. */
final class RunnerQueries {

    /** The index of jobs. */
    private final BatchIndex index;

    /** The nodes of the site. */
    private final MembershipView membership;

    /** The requests that wait for a runner's answer, by their tickets. */
    private final Map<Long, BatchMessage> waiting = new HashMap<>();

    /**
     * Creates an instance without requests.
     *
     * @param index The index of jobs.
     * @param membership The nodes of the site.
     */
    RunnerQueries(BatchIndex index, MembershipView membership) {
        this.index = index;
        this.membership = membership;
    }

    /**
     * Queries the runner of a job if it is another working node.
     *
     * @param tick The tick.
     * @param id The job.
     * @param ticket The ticket of the request.
     * @param message The message.
     * @return Whether the request was sent.
     */
    boolean send(Tick tick, BatchJobId id, long ticket, BatchMessage message) {
        Optional<NodeName> runner = index.find(id)
                .map(row -> row.entry().runner())
                .filter(node -> !node.equals(membership.self().identity().name()))
                .filter(node -> membership.working().stream()
                        .anyMatch(member -> member.identity().name().equals(node)));
        runner.ifPresent(node -> {
            waiting.put(ticket, message);
            tick.emit(new PeerEffect.Send(node, message));
        });
        return runner.isPresent();
    }

    /**
     * Returns whether a request waits for a runner's answer.
     *
     * @param ticket The ticket of the request.
     * @return {@code true} if it does.
     */
    boolean isWaiting(long ticket) {
        return waiting.containsKey(ticket);
    }

    /**
     * Stops waiting for a runner's answer.
     *
     * @param ticket The ticket of the request.
     */
    void forget(long ticket) {
        waiting.remove(ticket);
    }

    /**
     * Receives the answers of runners, and detects requests that could not be delivered.
     *
     * @param tick The tick.
     * @return The answers. If an answer is empty, the platform has to be queried.
     */
    List<Answer> receive(Tick tick) {
        List<Answer> answers = new ArrayList<>();
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            answer(received.message()).ifPresent(answers::add);
        }
        for (PeerEvent.Undeliverable lost : tick.events(PeerEvent.Undeliverable.class)) {
            ticketOf(lost.message()).ifPresent(ticket -> answers.add(new Answer(ticket, Optional.empty())));
        }
        answers.removeIf(answer -> waiting.remove(answer.ticket()) == null);
        return answers;
    }

    /**
     * Matches a message to a waiting request.
     *
     * @param message The message.
     * @return The answer, or empty if the message is not an answer, or answers a request of an earlier incarnation of
     *     this node.
     */
    private Optional<Answer> answer(PeerMessage message) {
        if (message instanceof BatchMessage.ResultsRead read
                && waiting.get(read.ticket()) instanceof BatchMessage.ReadResults query
                && query.id().equals(read.id())
                && query.position() == read.position()) {
            return Optional.of(new Answer(
                    read.ticket(),
                    Optional.of(new BatchAnswer.Results(read.total(), read.next(), List.copyOf(read.results())))));
        }
        if (message instanceof BatchMessage.BodyRead read
                && waiting.get(read.ticket()) instanceof BatchMessage.ReadBody query
                && query.id().equals(read.id())
                && query.item().equals(read.item())) {
            return Optional.of(new Answer(read.ticket(), Optional.of(new BatchAnswer.Body(read.body()))));
        }
        if (message instanceof BatchMessage.ReadDeclined declined) {
            return Optional.of(new Answer(declined.ticket(), Optional.empty()));
        }
        return Optional.empty();
    }

    /**
     * Returns the ticket of a request.
     *
     * @param message The message.
     * @return The ticket, or empty if the message is not a request to a runner.
     */
    private static OptionalLong ticketOf(PeerMessage message) {
        if (message instanceof BatchMessage.ReadResults read) {
            return OptionalLong.of(read.ticket());
        }
        if (message instanceof BatchMessage.ReadBody read) {
            return OptionalLong.of(read.ticket());
        }
        return OptionalLong.empty();
    }

    /**
     * The outcome of a request.
     *
     * @param ticket The ticket of the request.
     * @param answer The answer, or empty if the runner has none.
     */
    record Answer(long ticket, Optional<BatchAnswer> answer) {}
}
