package io.yuccaswitch.testkit.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import java.io.IOException;
import java.io.OutputStream;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;

/** The answer to one request, which suffers the faults that were ordered. */
public final class Answer {

    /** The header that carries the identifier of a request. */
    public static final String REQUEST_ID = "X-Request-Id";

    /** The content type of JSON. */
    public static final String JSON = "application/json";

    /** The number of bytes that an answer of a wrong length lacks. */
    private static final int MISSING_BYTES = 17;

    /** The request and its answer. */
    private final Context context;

    /** The faults to suffer. */
    private final Faults faults;

    /** What to do to die. */
    private final Runnable death;

    /** The incarnation of the endpoint. */
    private final String incarnation;

    /** The identifier that the answer bears. */
    private final String requestId;

    /** The number of bytes that may still be written, or a negative number for no bound. */
    private long bytesLeft = -1;

    /** Whether the process dies where the answer is cut. */
    private boolean dies;

    /** Whether the answer announces more bytes than it has. */
    private boolean wrongLength;

    /**
     * Creates an answer.
     *
     * @param context The request and its answer.
     * @param faults The faults to suffer.
     * @param death What to do to die.
     * @param incarnation The incarnation of the endpoint.
     */
    Answer(Context context, Faults faults, Runnable death, String incarnation) {
        this.context = context;
        this.faults = faults;
        this.death = death;
        this.incarnation = incarnation;
        String own = requestId(context);
        requestId = faults.take(Fault.CROSSED_ANSWERS) ? "crossed-" + own : own;
    }

    /**
     * Returns the identifier that a request bears.
     *
     * @param context The request.
     * @return The identifier, or an empty text.
     */
    public static String requestId(Context context) {
        String header = context.header(REQUEST_ID);
        return header == null ? "" : header;
    }

    /**
     * Returns the identifier that this answer bears.
     *
     * @return The identifier.
     */
    public String requestId() {
        return requestId;
    }

    /**
     * Writes a whole answer of JSON.
     *
     * @param status The status.
     * @param body The body.
     * @throws IOException If the connection is broken.
     */
    public void json(int status, Object body) throws IOException {
        complete(status, JSON, Json.bytes(body));
    }

    /**
     * Writes a whole answer.
     *
     * @param status The status.
     * @param contentType The content type.
     * @param body The body.
     * @throws IOException If the connection is broken.
     */
    public void complete(int status, String contentType, byte[] body) throws IOException {
        begin(status, contentType);
        wrongLength = faults.take(Fault.WRONG_LENGTH_ANSWERS);
        context.res().setContentLengthLong((long) body.length + (wrongLength ? MISSING_BYTES : 0));
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
     * Begins an answer whose body is written piece by piece.
     *
     * @param status The status.
     * @param contentType The content type.
     */
    public void begin(int status, String contentType) {
        context.status(status);
        context.res().setStatus(status);
        context.res().setContentType(contentType);
        context.res().setHeader(REQUEST_ID, requestId);
        dies = faults.take(Fault.DEATHS);
        if (dies || faults.take(Fault.CUT_ANSWERS)) {
            bytesLeft = faults.value(Fault.CUT_AFTER_BYTES);
        }
    }

    /**
     * Writes a piece of the body and sends it at once.
     *
     * @param bytes The piece.
     * @throws IOException If the connection is broken, also by an ordered fault.
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
            cut();
        }
    }

    /**
     * Ends an answer.
     *
     * @throws IOException If the connection is broken, also by an ordered fault.
     */
    public void end() throws IOException {
        if (bytesLeft >= 0 || wrongLength) {
            cut();
        }
    }

    /** Closes the connection without any further byte. */
    public void closeConnection() {
        ServletContextRequest.getServletContextRequest(context.req())
                .getConnectionMetaData()
                .getConnection()
                .getEndPoint()
                .close();
    }

    /**
     * Closes the connection in the midst of the answer.
     *
     * @throws IOException Always, as the connection is broken.
     */
    private void cut() throws IOException {
        if (dies) {
            death.run();
        }
        closeConnection();
        throw new IOException("The answer was cut by order.");
    }
}
