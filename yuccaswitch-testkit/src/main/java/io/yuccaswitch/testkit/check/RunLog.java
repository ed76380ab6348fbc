package io.yuccaswitch.testkit.check;

import io.yuccaswitch.testkit.check.Observation.EndpointRefused;
import io.yuccaswitch.testkit.check.Observation.EndpointRun;
import io.yuccaswitch.testkit.check.Observation.Segment;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;

/** Records the runs of an endpoint, such that the records survive the end of its process. */
public interface RunLog {

    /**
     * Records that a run started.
     *
     * @param requestId The identifier of the request.
     * @param generated The weight versions in use, without tokens, or empty.
     * @return The run, to be passed to {@link #recordEnd}.
     */
    EndpointRun recordStart(String requestId, List<Segment> generated);

    /**
     * Records that a run ended.
     *
     * @param run The run, as returned by {@link #recordStart}.
     * @param completed Whether it completed.
     * @param generated The tokens that it generated, or empty.
     */
    void recordEnd(EndpointRun run, boolean completed, List<Segment> generated);

    /**
     * Records that a request was refused because the endpoint is leaving.
     *
     * @param requestId The identifier of the request.
     */
    void recordRefusal(String requestId);

    /**
     * Creates a log.
     *
     * @param endpoint The name of the endpoint.
     * @param file The path of the file, or an empty string to record nothing.
     * @return The log.
     */
    static RunLog to(String endpoint, String file) {
        return file.isEmpty() ? new NoOp() : new ToFile(endpoint, new ObservationLog(Path.of(file)));
    }

    /**
     * Records runs in a file.
     *
     * @param endpoint The name of the endpoint.
     * @param log The log that the runs are written to.
     */
    record ToFile(String endpoint, ObservationLog log) implements RunLog {

        /** {@inheritDoc} */
        @Override
        public EndpointRun recordStart(String requestId, List<Segment> generated) {
            EndpointRun run = new EndpointRun(
                    endpoint, UUID.randomUUID().toString(), requestId, System.currentTimeMillis(), false, generated);
            log.write(run);
            return run;
        }

        /** {@inheritDoc} */
        @Override
        public void recordEnd(EndpointRun run, boolean completed, List<Segment> generated) {
            log.write(
                    new EndpointRun(run.endpoint(), run.run(), run.requestId(), run.startedAt(), completed, generated));
        }

        /** {@inheritDoc} */
        @Override
        public void recordRefusal(String requestId) {
            log.write(new EndpointRefused(endpoint, requestId, System.currentTimeMillis()));
        }
    }

    /** Records nothing. */
    record NoOp() implements RunLog {

        /** {@inheritDoc} */
        @Override
        public EndpointRun recordStart(String requestId, List<Segment> generated) {
            return new EndpointRun("", "", requestId, 0, false, generated);
        }

        /** {@inheritDoc} */
        @Override
        public void recordEnd(EndpointRun _run, boolean _completed, List<Segment> _generated) {}

        /** {@inheritDoc} */
        @Override
        public void recordRefusal(String _requestId) {}
    }
}
