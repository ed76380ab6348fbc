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

/** The HTTP server of a stand-in, with an interface to order faults at {@code /control/faults}. */
public final class StandInServer implements AutoCloseable {

    /** The address that stand-ins listen on. */
    private static final String HOST = "127.0.0.1";

    /** The largest number of threads, which bounds the requests in progress. */
    private static final int MAXIMUM_THREADS = 512;

    /** The number of threads that are kept. */
    private static final int MINIMUM_THREADS = 8;

    /** The status of an answer without a body. */
    private static final int NO_CONTENT = 204;

    /** The incarnation of the endpoint. */
    private final String incarnation = UUID.randomUUID().toString();

    /** The faults that are ordered. */
    private final Faults faults = new Faults();

    /** The server. */
    private final Javalin server;

    /** What to do to die in the midst of an answer. */
    private volatile Runnable death = () -> new Thread(this::close, "death").start();

    /**
     * Creates and starts a server.
     *
     * @param port The port to listen on, or zero for any.
     * @param routes Adds the routes of the stand-in.
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
     * Returns the incarnation of the endpoint, which changes with each start.
     *
     * @return The incarnation.
     */
    public String incarnation() {
        return incarnation;
    }

    /**
     * Returns the faults that are ordered.
     *
     * @return The faults.
     */
    public Faults faults() {
        return faults;
    }

    /**
     * Sets what to do to die in the midst of an answer. A process halts; within a test the server just closes.
     *
     * @param action The action.
     */
    public void onCrash(Runnable action) {
        death = action;
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
     * @param routes Adds the routes of the stand-in.
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
        config.routes.post("/control/faults", this::orderFaults);
        config.routes.exception(IOException.class, (_exception, _context) -> {});
        routes.accept(new Routes(config.routes));
    }

    /**
     * Orders faults.
     *
     * @param context The request, whose body holds values by the names of faults.
     */
    private void orderFaults(Context context) {
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
         * Answers a path's GET requests with a value as JSON.
         *
         * @param path The path.
         * @param read Reads the value from the request.
         */
        public void get(String path, Read read) {
            routes.get(path, context -> context.contentType(Answer.JSON).result(Json.bytes(read.read(context))));
        }

        /**
         * Answers a path's GET requests with a value as JSON, after the delay or freeze that was ordered.
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
         * Answers a path's POST requests.
         *
         * @param path The path.
         * @param serve Writes the answer.
         */
        public void post(String path, Serve serve) {
            routes.post(path, faulty(serve));
        }

        /**
         * Answers a path's DELETE requests.
         *
         * @param path The path.
         * @param serve Writes the answer.
         */
        public void delete(String path, Serve serve) {
            routes.delete(path, faulty(serve));
        }

        /**
         * Answers GET, POST, PUT and DELETE requests of a path.
         *
         * @param path The path.
         * @param serve Writes the answer.
         */
        public void any(String path, Serve serve) {
            routes.get(path, faulty(serve));
            routes.post(path, faulty(serve));
            routes.put(path, faulty(serve));
            routes.delete(path, faulty(serve));
        }

        /**
         * Makes a handler whose answers suffer the ordered faults.
         *
         * @param serve Writes the answer.
         * @return The handler.
         */
        private Handler faulty(Serve serve) {
            return context -> serve.serve(context, new Answer(context, faults, () -> death.run(), incarnation));
        }
    }

    /** Reads a value. */
    @FunctionalInterface
    public interface Read {

        /**
         * Reads the value.
         *
         * @param context The request.
         * @return The value, to be written as JSON.
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
         * @throws InterruptedException If the server is stopped meanwhile.
         */
        void serve(Context context, Answer answer) throws IOException, InterruptedException;
    }
}
