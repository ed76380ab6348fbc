package io.yuccaswitch.testkit.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import java.io.IOException;
import java.io.OutputStream;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;

/** The answer to one request, to which the injected faults are applied. */
public final class Answer {

    /** The header that carries the identifier of a request. */
    public static final String REQUEST_ID = "X-Request-Id";

    /** The content type of JSON. */
    public static final String JSON = "application/json";

    /** The number of bytes by which a wrong content length exceeds the body. */
    private static final int EXCESS_LENGTH_BYTES = 17;

    /** The request and its answer. */
    private final Context context;

    /** The injected faults. */
    private final Faults faults;

    /** The action that simulates a crash of the process. */
    private final Runnable crashAction;

    /** The incarnation of the endpoint. */
    private final String incarnation;

    /** The identifier that the answer carries. */
    private final String requestId;

    /**
     * The number of bytes that may still be written before the connection is closed, or a negative number for no limit.
     */
    private long bytesLeft = -1;

    /** Whether the process crashes at the point where the answer is truncated. */
    private boolean crashes;

    /** Whether the announced content length exceeds the body. */
    private boolean wrongLength;

    /**
     * Creates an answer.
     *
     * @param context The request and its answer.
     * @param faults The injected faults.
     * @param crashAction The action that simulates a crash of the process.
     * @param incarnation The incarnation of the endpoint.
     */
    Answer(Context context, Faults faults, Runnable crashAction, String incarnation) {
        this.context = context;
        this.faults = faults;
        this.crashAction = crashAction;
        this.incarnation = incarnation;
        String own = requestId(context);
        requestId = faults.take(Fault.CROSSED_ANSWERS) ? "crossed-" + own : own;
    }

    /**
     * Returns the identifier that a request carries.
     *
     * @param context The request.
     * @return The identifier, or an empty string.
     */
    public static String requestId(Context context) {
        String header = context.header(REQUEST_ID);
        return header == null ? "" : header;
    }

    /**
     * Returns the identifier that this answer carries.
     *
     * @return The identifier.
     */
    public String requestId() {
        return requestId;
    }

    /**
     * Writes a complete JSON answer.
     *
     * @param status The status.
     * @param body The body.
     * @throws IOException If the connection is broken.
     */
    public void json(int status, Object body) throws IOException {
        complete(status, JSON, Json.bytes(body));
    }

    /**
     * Writes a complete answer.
     *
     * @param status The status.
     * @param contentType The content type.
     * @param body The body.
     * @throws IOException If the connection is broken.
     */
    public void complete(int status, String contentType, byte[] body) throws IOException {
        begin(status, contentType);
        wrongLength = faults.take(Fault.WRONG_LENGTH_ANSWERS);
        context.res().setContentLengthLong((long) body.length + (wrongLength ? EXCESS_LENGTH_BYTES : 0));
        write(body);
        end();
    }

    /**
     * Refuses the request, which did not run.
     *
     * @param status The status.
     * @param code The code of the refusal.
     * @throws IOException If the connection is broken.
     */
    public void refuse(int status, String code) throws IOException {
        error(status, code, "no");
    }

    /**
     * Writes an error.
     *
     * @param status The status.
     * @param code The code of the error.
     * @param ran Whether the request ran: {@code no}, {@code yes} or {@code unknown}.
     * @throws IOException If the connection is broken.
     */
    public void error(int status, String code, String ran) throws IOException {
        ObjectNode body = Json.object();
        body.putObject("error").put("code", code).put("message", code).put("ran", ran);
        json(status, body.put("requestId", requestId).put("incarnation", incarnation));
    }

    /**
     * Begins an answer whose body is written in chunks.
     *
     * @param status The status.
     * @param contentType The content type.
     */
    public void begin(int status, String contentType) {
        context.status(status);
        context.res().setStatus(status);
        context.res().setContentType(contentType);
        context.res().setHeader(REQUEST_ID, requestId);
        crashes = faults.take(Fault.DEATHS);
        if (crashes || faults.take(Fault.CUT_ANSWERS)) {
            bytesLeft = faults.value(Fault.CUT_AFTER_BYTES);
        }
    }

    /**
     * Writes a chunk of the body and flushes it.
     *
     * @param bytes The chunk.
     * @throws IOException If the connection is broken, possibly by an injected fault.
     */
    public void write(byte[] bytes) throws IOException {
        OutputStream stream = context.res().getOutputStream();
        if (bytesLeft < 0) {
            stream.write(bytes);
            stream.flush();
            return;
        }
        int length = (int) Math.min(bytes.length, bytesLeft);
        stream.write(bytes, 0, length);
        stream.flush();
        bytesLeft -= length;
        if (length < bytes.length) {
            truncate();
        }
    }

    /**
     * Ends an answer.
     *
     * @throws IOException If the connection is broken, possibly by an injected fault.
     */
    public void end() throws IOException {
        if (bytesLeft >= 0 || wrongLength) {
            truncate();
        }
    }

    /** Closes the connection without writing further bytes. */
    public void closeConnection() {
        ServletContextRequest.getServletContextRequest(context.req())
                .getConnectionMetaData()
                .getConnection()
                .getEndPoint()
                .close();
    }

    /**
     * Closes the connection in the middle of the answer, and simulates a crash if one was injected.
     *
     * @throws IOException Always, as the connection is broken.
     */
    private void truncate() throws IOException {
        if (crashes) {
            crashAction.run();
        }
        closeConnection();
        throw new IOException("answer truncated by an injected fault");
    }
}
