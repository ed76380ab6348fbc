package io.yuccaswitch.testkit.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import io.javalin.http.Handler;
import java.io.IOException;
import java.util.UUID;
import java.util.function.Consumer;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server of a stand-in, with a control interface for fault injection at {@code /control/faults}. */
public final class StandInServer implements AutoCloseable {

    /** The address that stand-ins listen on. */
    private static final String HOST = "127.0.0.1";

    /** The maximum number of threads, which limits the requests in progress. */
    private static final int MAXIMUM_THREADS = 512;

    /** The number of threads that the pool retains when idle. */
    private static final int MINIMUM_THREADS = 8;

    /** The status of an answer without a body. */
    private static final int NO_CONTENT = 204;

    /** The incarnation of the endpoint. */
    private final String incarnation = UUID.randomUUID().toString();

    /** The injected faults. */
    private final Faults faults = new Faults();

    /** The server. */
    private final Javalin server;

    /** The action that simulates a crash of the process in the middle of an answer. */
    private volatile Runnable crashAction = () -> new Thread(this::close, "death").start();

    /**
     * Creates and starts a server.
     *
     * @param port The port to listen on, or zero for any free port.
     * @param routes The function that adds the routes of the stand-in.
     */
    public StandInServer(int port, Consumer<Routes> routes) {
        server = Javalin.create(config -> configure(config, routes)).start(HOST, port);
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return The port.
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return The address as {@code host:port}.
     */
    public String address() {
        return HOST + ":" + port();
    }

    /**
     * Returns the incarnation of the endpoint, which is different after each start.
     *
     * @return The incarnation.
     */
    public String incarnation() {
        return incarnation;
    }

    /**
     * Returns the injected faults.
     *
     * @return The injected faults.
     */
    public Faults faults() {
        return faults;
    }

    /**
     * Sets the action that simulates a crash of the process in the middle of an answer. A stand-in process halts. By
     * default, as within a test, the server is closed.
     *
     * @param action The action.
     */
    public void onCrash(Runnable action) {
        crashAction = action;
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        server.stop();
    }

    /**
     * Configures the server.
     *
     * @param config The configuration to fill.
     * @param routes The function that adds the routes of the stand-in.
     */
    private void configure(JavalinConfig config, Consumer<Routes> routes) {
        config.startup.showJavalinBanner = false;
        config.startup.showOldJavalinVersionWarning = false;
        config.http.compressionStrategy = io.javalin.compression.CompressionStrategy.NONE;
        config.jetty.threadPool = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
        config.jetty.modifyHttpConfiguration(http -> http.setUriCompliance(UriCompliance.UNSAFE));
        config.jetty.modifyServletContextHandler(
                handler -> handler.getServletHandler().setDecodeAmbiguousURIs(true));
        config.routes.get("/control/faults", context -> context.json(faults.toMap()));
        config.routes.post("/control/faults", this::injectFaults);
        config.routes.exception(IOException.class, (_exception, _context) -> {});
        routes.accept(new Routes(config.routes));
    }

    /**
     * Injects faults.
     *
     * @param context The request, whose body contains the values by fault name.
     */
    private void injectFaults(Context context) {
        JsonNode body = Json.parse(context.bodyAsBytes());
        body.properties()
                .forEach(field ->
                        faults.set(Fault.ofKey(field.getKey()), field.getValue().asLong()));
        context.status(NO_CONTENT);
    }

    /** The routes of a stand-in. */
    public final class Routes {

        /** The routes of the server. */
        private final RoutesConfig routes;

        /**
         * Creates the routes.
         *
         * @param routes The routes of the server.
         */
        private Routes(RoutesConfig routes) {
            this.routes = routes;
        }

        /**
         * Answers GET requests for a path with a value as JSON.
         *
         * @param path The path.
         * @param read Reads the value from the request.
         */
        public void get(String path, Read read) {
            routes.get(path, context -> context.contentType(Answer.JSON).result(Json.bytes(read.read(context))));
        }

        /**
         * Answers GET requests for a path with a value as JSON, after an injected delay or freeze.
         *
         * @param path The path.
         * @param read Reads the value from the request.
         */
        public void report(String path, Read read) {
            routes.get(path, context -> {
                faults.pause();
                context.contentType(Answer.JSON).result(Json.bytes(read.read(context)));
            });
        }

        /**
         * Answers POST requests for a path.
         *
         * @param path The path.
         * @param serve Writes the answer.
         */
        public void post(String path, Serve serve) {
            routes.post(path, withFaults(serve));
        }

        /**
         * Answers DELETE requests for a path.
         *
         * @param path The path.
         * @param serve Writes the answer.
         */
        public void delete(String path, Serve serve) {
            routes.delete(path, withFaults(serve));
        }

        /**
         * Answers GET, POST, PUT and DELETE requests for a path.
         *
         * @param path The path.
         * @param serve Writes the answer.
         */
        public void any(String path, Serve serve) {
            routes.get(path, withFaults(serve));
            routes.post(path, withFaults(serve));
            routes.put(path, withFaults(serve));
            routes.delete(path, withFaults(serve));
        }

        /**
         * Creates a handler whose answers are subject to the injected faults.
         *
         * @param serve Writes the answer.
         * @return The handler.
         */
        private Handler withFaults(Serve serve) {
            return context -> serve.serve(context, new Answer(context, faults, () -> crashAction.run(), incarnation));
        }
    }

    /** Reads a value. */
    @FunctionalInterface
    public interface Read {

        /**
         * Reads the value.
         *
         * @param context The request.
         * @return The value, which is written as JSON.
         */
        Object read(Context context);
    }

    /** Serves a request. */
    @FunctionalInterface
    public interface Serve {

        /**
         * Serves the request.
         *
         * @param context The request.
         * @param answer The answer to write.
         * @throws IOException If the connection is broken.
         * @throws InterruptedException If the server is stopped in the meantime.
         */
        void serve(Context context, Answer answer) throws IOException, InterruptedException;
    }
}
