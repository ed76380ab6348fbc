package io.yuccaswitch.endpoint;

import io.yuccaswitch.core.request.AttemptResult;
import io.yuccaswitch.core.request.Generation;
import java.io.IOException;
import java.util.Optional;
import okhttp3.Response;

/** Reads the answer to one attempt, whose identifier has been checked. */
interface AnswerReader {

    /**
     * Reads an answer to its end.
     *
     * @param response The answer.
     * @return The whole answer.
     * @throws IOException If the end is not seen.
     */
    AttemptResult read(Response response) throws IOException;

    /**
     * Returns what was generated so far.
     *
     * @return The generation, or empty if there is none.
     */
    Optional<Generation> partial();

    /**
     * Reads the answers of plain services.
     *
     * @param maximumBytes The largest answer that is accepted.
     */
    record Plain(long maximumBytes) implements AnswerReader {

        /** {@inheritDoc} */
        @Override
        public AttemptResult read(Response response) throws IOException {
            return new AttemptResult.Whole(
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
