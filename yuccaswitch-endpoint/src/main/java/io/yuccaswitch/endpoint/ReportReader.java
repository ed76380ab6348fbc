package io.yuccaswitch.endpoint;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.Response;

/** Fetches short JSON documents from endpoints. */
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
     * Fetches a document.
     *
     * @param url The location of the document.
     * @param documentConsumer Receives the document, and throws an exception if it is invalid.
     * @param failureConsumer Receives the reason of a failure. Exactly one of the two consumers completes normally.
     */
    void read(HttpUrl url, DocumentConsumer documentConsumer, Consumer<String> failureConsumer) {
        Call call = http.call(
                new Request.Builder().url(url),
                new Transmission(),
                http.settings().probeTimeout());
        call.enqueue(new DocumentCallback(documentConsumer, failureConsumer));
    }

    /** Receives a document. */
    @FunctionalInterface
    interface DocumentConsumer {

        /**
         * Receives a document.
         *
         * @param document The document.
         * @throws IOException If the document is invalid.
         */
        void accept(ObjectNode document) throws IOException;
    }

    /** Handles the answer that contains a document. */
    private final class DocumentCallback implements Callback {

        /** Receives the document. */
        private final DocumentConsumer documentConsumer;

        /** Receives the reason of a failure. */
        private final Consumer<String> failureConsumer;

        /**
         * Creates the callback.
         *
         * @param documentConsumer Receives the document.
         * @param failureConsumer Receives the reason of a failure.
         */
        DocumentCallback(DocumentConsumer documentConsumer, Consumer<String> failureConsumer) {
            this.documentConsumer = documentConsumer;
            this.failureConsumer = failureConsumer;
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(Call _call, IOException exception) {
            failureConsumer.accept(String.valueOf(exception.getMessage()));
        }

        /** {@inheritDoc} */
        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                if (!response.isSuccessful()) {
                    call.cancel();
                    failureConsumer.accept("status " + response.code());
                    return;
                }
                documentConsumer.accept(Json.parse(http.readDelimitedReport(call, response)));
            } catch (IOException | RuntimeException exception) {
                call.cancel();
                failureConsumer.accept(String.valueOf(exception.getMessage()));
            }
        }
    }
}
