package io.yuccaswitch.endpoint;

import io.yuccaswitch.core.request.AttemptResult;
import io.yuccaswitch.core.request.Generation;
import java.io.IOException;
import java.util.Optional;
import okhttp3.Response;

/** Reads the answer to one attempt. The caller has verified the request identifier of the answer. */
interface AnswerReader {

    /**
     * Reads a complete answer.
     *
     * @param response The answer.
     * @return The complete answer.
     * @throws IOException If the answer is incomplete or invalid.
     */
    AttemptResult read(Response response) throws IOException;

    /**
     * Returns the text that has been generated so far.
     *
     * @return The partial generation, or empty if nothing was generated.
     */
    Optional<Generation> partial();

    /**
     * Reads the answers of plain services.
     *
     * @param maximumBytes The maximum size of an answer.
     */
    record Plain(long maximumBytes) implements AnswerReader {

        /** {@inheritDoc} */
        @Override
        public AttemptResult read(Response response) throws IOException {
            return new AttemptResult.Complete(
                    response.code(),
                    response.header("Content-Type", ""),
                    AnswerBody.read(response, maximumBytes),
                    Optional.empty());
        }

        /** {@inheritDoc} */
        @Override
        public Optional<Generation> partial() {
            return Optional.empty();
        }
    }
}
