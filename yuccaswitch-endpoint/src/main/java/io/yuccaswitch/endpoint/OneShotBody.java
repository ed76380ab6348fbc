package io.yuccaswitch.endpoint;

import io.yuccaswitch.core.value.Bytes;
import java.io.IOException;
import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;

/** A request body that is written at most once. */
public final class OneShotBody extends RequestBody {

    /** The content type, or {@code null} for none. */
    private final MediaType contentType;

    /** The content. */
    private final Bytes content;

    /**
     * Creates a body.
     *
     * @param contentType The content type, or an empty string for none.
     * @param content The content.
     */
    public OneShotBody(String contentType, Bytes content) {
        this.contentType = contentType.isEmpty() ? null : MediaType.parse(contentType);
        this.content = content;
    }

    /** {@inheritDoc} */
    @Override
    public MediaType contentType() {
        return contentType;
    }

    /** {@inheritDoc} */
    @Override
    public long contentLength() {
        return content.size();
    }

    /** {@inheritDoc} */
    @Override
    public boolean isOneShot() {
        return true;
    }

    /** {@inheritDoc} */
    @Override
    public void writeTo(BufferedSink sink) throws IOException {
        sink.write(content.unsafeArray());
    }
}
