package io.yuccaswitch.endpoint;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.Response;

/** Reads short documents from endpoints. */
final class ReportReader {

    /** The HTTP client. */
    private final EndpointHttp http;

    /**
     * Creates a new reader.
     *
     * @param http The HTTP client.
     */
    ReportReader(EndpointHttp http) {
        this.http = http;
    }

    /**
     * Reads a document.
     *
     * @param url The place of the document.
     * @param taken Takes the document, and fails if it makes no sense.
     * @param failed Takes the reason for a failure. Exactly one of both is called to its end.
     */
    void read(HttpUrl url, DocumentConsumer taken, Consumer<String> failed) {
        Call call = http.call(
                new Request.Builder().url(url),
                new Transmission(),
                http.settings().probeTimeout());
        call.enqueue(new Reading(taken, failed));
    }

    /** Takes a document. */
    @FunctionalInterface
    interface DocumentConsumer {

        /**
         * Takes a document.
         *
         * @param document The document.
         * @throws IOException If it makes no sense.
         */
        void accept(ObjectNode document) throws IOException;
    }

    /** Reads one document. */
    private final class Reading implements Callback {

        /** Takes the document. */
        private final DocumentConsumer taken;

        /** Takes the reason for a failure. */
        private final Consumer<String> failed;

        /**
         * Creates the callback.
         *
         * @param taken Takes the document.
         * @param failed Takes the reason for a failure.
         */
        Reading(DocumentConsumer taken, Consumer<String> failed) {
            this.taken = taken;
            this.failed = failed;
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(Call _call, IOException exception) {
            failed.accept(String.valueOf(exception.getMessage()));
        }

        /** {@inheritDoc} */
        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                if (!response.isSuccessful()) {
                    call.cancel();
                    failed.accept("status " + response.code());
                    return;
                }
                taken.accept(
                        Json.parse(AnswerBody.read(response, http.settings().maximumReportBytes())));
            } catch (IOException | RuntimeException exception) {
                call.cancel();
                failed.accept(String.valueOf(exception.getMessage()));
            }
        }
    }
}
