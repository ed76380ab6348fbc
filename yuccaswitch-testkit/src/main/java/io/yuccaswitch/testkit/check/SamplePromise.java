package io.yuccaswitch.testkit.check;

import io.yuccaswitch.testkit.check.Observation.EndpointRun;
import io.yuccaswitch.testkit.check.Observation.GroupAccepted;
import io.yuccaswitch.testkit.check.Observation.SampleReceived;
import io.yuccaswitch.testkit.check.Observation.Segment;
import io.yuccaswitch.testkit.check.Observation.Slot;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The promises to trainers. */
public interface SamplePromise extends Promise {

    /** No sample is delivered twice. */
    final class NoDuplicates implements SamplePromise {

        /** {@inheritDoc} */
        @Override
        public Verdict judge(Observations observations) {
            BreachCollector collector = new BreachCollector("no sample is delivered twice");
            Set<Slot> seen = new HashSet<>();
            for (SampleReceived sample : observations.of(SampleReceived.class)) {
                collector.judge(seen.add(sample.slot()), sample.slot() + " was delivered again");
            }
            return collector.verdict();
        }
    }

    /** Every sample of an accepted group is delivered. */
    final class NoLosses implements SamplePromise {

        /** {@inheritDoc} */
        @Override
        public Verdict judge(Observations observations) {
            BreachCollector collector = new BreachCollector("every accepted sample is delivered");
            Set<Slot> received = new HashSet<>();
            observations.of(SampleReceived.class).forEach(sample -> received.add(sample.slot()));
            Set<Slot> judged = new HashSet<>();
            for (GroupAccepted group : observations.of(GroupAccepted.class)) {
                for (int index = 0; index < group.size(); index++) {
                    Slot slot = group.slot().withIndex(index);
                    if (judged.add(slot)) {
                        collector.judge(received.contains(slot), slot + " was accepted and never delivered");
                    }
                }
            }
            return collector.verdict();
        }
    }

    /**
     * No sample exceeds the staleness bound of its trainer.
     *
     * @param bounds The staleness bounds by trainer name.
     */
    record WithinStalenessBound(Map<String, Integer> bounds) implements SamplePromise {

        /**
         * Copies the bounds.
         *
         * @param bounds The staleness bounds by trainer name.
         */
        public WithinStalenessBound {
            bounds = Map.copyOf(bounds);
        }

        /** {@inheritDoc} */
        @Override
        public Verdict judge(Observations observations) {
            BreachCollector collector = new BreachCollector("no sample is older than the staleness bound");
            for (SampleReceived sample : observations.of(SampleReceived.class)) {
                long oldest = sample.segments().stream()
                        .mapToLong(Segment::version)
                        .min()
                        .orElse(Long.MIN_VALUE);
                Integer bound = bounds.get(sample.slot().trainer());
                collector.judge(
                        bound != null && oldest >= sample.useVersion() - bound,
                        sample.slot() + " holds version " + oldest + " at use version " + sample.useVersion());
            }
            return collector.verdict();
        }
    }

    /**
     * Every sample is labelled with the versions that actually produced it. The engine stand-in encodes the actual
     * version in each token as {@code t<index>v<version>}, independently of what it reports. In addition, some recorded
     * engine run must have used the version of each segment.
     */
    final class AccuratelyLabelled implements SamplePromise {

        /** The format of a token: its index and its version. */
        private static final Pattern TOKEN = Pattern.compile("t(\\d+)v(\\d+)");

        /** {@inheritDoc} */
        @Override
        public Verdict judge(Observations observations) {
            BreachCollector collector = new BreachCollector("every sample names the versions that produced it");
            Set<Long> ran = new HashSet<>();
            observations.of(EndpointRun.class).forEach(run -> run.generated()
                    .forEach(segment -> ran.add(segment.version())));
            for (SampleReceived sample : observations.of(SampleReceived.class)) {
                List<Segment> produced = produced(sample.text());
                collector.judge(
                        joined(sample.segments()).equals(produced)
                                && produced.stream().allMatch(segment -> ran.contains(segment.version())),
                        sample.slot() + " is labelled " + sample.segments() + " but was produced by " + produced);
            }
            return collector.verdict();
        }

        /**
         * Extracts the versions from a text, which must contain consecutive tokens that start at index zero.
         *
         * @param text The text.
         * @return The segments, or empty if a token is missing or repeated.
         */
        static List<Segment> produced(String text) {
            List<Segment> segments = new ArrayList<>();
            int index = 0;
            Matcher matcher = TOKEN.matcher(text);
            while (matcher.find()) {
                if (Integer.parseInt(matcher.group(1)) != index) {
                    return List.of();
                }
                segments.add(new Segment(Long.parseLong(matcher.group(2)), 1));
                index++;
            }
            return joined(segments);
        }

        /**
         * Merges adjacent segments of the same version and drops empty ones.
         *
         * @param segments The segments.
         * @return The merged segments.
         */
        private static List<Segment> joined(List<Segment> segments) {
            List<Segment> joined = new ArrayList<>();
            for (Segment segment : segments) {
                int last = joined.size() - 1;
                if (segment.tokens() == 0) {
                    continue;
                }
                if (last >= 0 && joined.get(last).version() == segment.version()) {
                    joined.set(
                            last,
                            new Segment(segment.version(), joined.get(last).tokens() + segment.tokens()));
                } else {
                    joined.add(segment);
                }
            }
            return joined;
        }
    }
}
