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

/** Asks the runners of jobs for what they know, which costs no call to the platform. */
final class RunnerReads {

    /** The index of jobs. */
    private final BatchIndex index;

    /** The nodes of the site. */
    private final MembershipView membership;

    /** The requests that wait for a runner's answer, by their tickets. */
    private final Map<Long, BatchMessage> asked = new HashMap<>();

    /**
     * Creates an instance that has asked nobody.
     *
     * @param index The index of jobs.
     * @param membership The nodes of the site.
     */
    RunnerReads(BatchIndex index, MembershipView membership) {
        this.index = index;
        this.membership = membership;
    }

    /**
     * Asks the runner of a job, if it is another node that works.
     *
     * @param tick The tick.
     * @param id The job.
     * @param ticket The ticket of the request.
     * @param message The message.
     * @return Whether the runner was asked.
     */
    boolean ask(Tick tick, BatchJobId id, long ticket, BatchMessage message) {
        Optional<NodeName> runner = index.find(id)
                .map(row -> row.entry().runner())
                .filter(node -> !node.equals(membership.self().identity().name()))
                .filter(node -> membership.working().stream()
                        .anyMatch(member -> member.identity().name().equals(node)));
        runner.ifPresent(node -> {
            asked.put(ticket, message);
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
    boolean isAsked(long ticket) {
        return asked.containsKey(ticket);
    }

    /**
     * Waits no longer for a runner's answer.
     *
     * @param ticket The ticket of the request.
     */
    void forget(long ticket) {
        asked.remove(ticket);
    }

    /**
     * Takes the answers of runners, and notices requests that could not be sent.
     *
     * @param tick The tick.
     * @return The answers. Where there is none, the platform has to be asked.
     */
    List<Answer> receive(Tick tick) {
        List<Answer> answers = new ArrayList<>();
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            answer(received.message()).ifPresent(answers::add);
        }
        for (PeerEvent.Undeliverable lost : tick.events(PeerEvent.Undeliverable.class)) {
            ticketOf(lost.message()).ifPresent(ticket -> answers.add(new Answer(ticket, Optional.empty())));
        }
        answers.removeIf(answer -> asked.remove(answer.ticket()) == null);
        return answers;
    }

    /**
     * Reads an answer to a request that waits.
     *
     * @param message The message.
     * @return The answer, or empty if the message is none, or answers a request of this node's earlier life.
     */
    private Optional<Answer> answer(PeerMessage message) {
        if (message instanceof BatchMessage.ResultsRead read
                && asked.get(read.ticket()) instanceof BatchMessage.ReadResults question
                && question.id().equals(read.id())
                && question.position() == read.position()) {
            return Optional.of(new Answer(
                    read.ticket(),
                    Optional.of(new BatchAnswer.Results(read.total(), read.next(), List.copyOf(read.results())))));
        }
        if (message instanceof BatchMessage.BodyRead read
                && asked.get(read.ticket()) instanceof BatchMessage.ReadBody question
                && question.id().equals(read.id())
                && question.item().equals(read.item())) {
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
     * @return The ticket, or empty if the message is no request to a runner.
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
     * What became of a request.
     *
     * @param ticket The ticket of the request.
     * @param answer The answer, or empty if the runner has none.
     */
    record Answer(long ticket, Optional<BatchAnswer> answer) {}
}
