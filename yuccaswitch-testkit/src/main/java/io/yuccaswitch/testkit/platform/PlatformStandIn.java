package io.yuccaswitch.testkit.platform;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import okio.ByteString;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.http.UriCompliance;

/**
 * A stand-in for the platform. It serves the object API and, at {@code /control}, an interface through which a test
 * injects faults and reads counts.
 */
public final class PlatformStandIn implements AutoCloseable {

    /** The maximum size of a value. */
    private static final int MAXIMUM_VALUE_BYTES = 1 << 20;

    /** The maximum wait of a watch. */
    private static final long MAXIMUM_WAIT_MILLIS = 60_000;

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock = System::nanoTime;

    /** The token that calls must carry, if any. */
    private final Optional<String> token;

    /** The objects. */
    private final VersionedObjects objects = new VersionedObjects(clock);

    /** The list of VMs. */
    private final LaggingList virtualMachines = new LaggingList(clock);

    /** The counts of calls. */
    private final CallCounts counts = new CallCounts(clock);

    /** The active faults. */
    private final PlatformFaults faults = new PlatformFaults();

    /** The rate limit of changing calls. */
    private final RateLimit writeLimit = new RateLimit(clock, 0);

    /** The rate limit of all other calls. */
    private final RateLimit readLimit = new RateLimit(clock, 0);

    /** The pending watches. */
    private final PendingWatches watches = new PendingWatches(objects, faults, clock);

    /** The server. */
    private final Javalin server;

    /**
     * Creates a stand-in.
     *
     * @param token The token that calls must carry, if any.
     */
    private PlatformStandIn(Optional<String> token) {
        this.token = token;
        server = Javalin.create(this::configure);
    }

    /**
     * Starts a stand-in without rate limits.
     *
     * @param port The port on the loopback address, or zero for any free one.
     * @param token The token that calls must carry, if any.
     * @return The stand-in, which accepts calls.
     */
    public static PlatformStandIn start(int port, Optional<String> token) {
        PlatformStandIn standIn = new PlatformStandIn(token);
        standIn.server.start("127.0.0.1", port);
        return standIn;
    }

    /**
     * Returns the port.
     *
     * @return The port on the loopback address.
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns the faults, which a test in the same process may change directly.
     *
     * @return The faults.
     */
    public PlatformFaults faults() {
        return faults;
    }

    /**
     * Changes the rate limits.
     *
     * @param writesPerSecond The changing calls per second, or zero for no limit.
     * @param readsPerSecond The other calls per second, or zero for no limit.
     */
    public void limitRates(double writesPerSecond, double readsPerSecond) {
        writeLimit.change(writesPerSecond);
        readLimit.change(readsPerSecond);
    }

    /**
     * Returns the number of calls received since counting started.
     *
     * @return The number of calls.
     */
    public long callCount() {
        return counts.snapshot().total();
    }

    /**
     * Returns the number of calls of one kind received since counting started.
     *
     * @param label The kind of call and the kind of object, such as {@code write lease}.
     * @return The number of calls.
     */
    public long callCount(String label) {
        return counts.snapshot().arrived().getOrDefault(label, 0L);
    }

    /**
     * Returns the maximum number of calls received in one tenth of a second since counting started.
     *
     * @return The number of calls.
     */
    public long largestTenthOfSecond() {
        return counts.snapshot().tenthsOfSecond().values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
    }

    /** Resets all counts. */
    public void resetCounts() {
        counts.reset();
    }

    /** Discards past changes, so that each watch from an older version is reset. */
    public void forgetChanges() {
        objects.forgetChanges();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        server.stop();
        watches.close();
    }

    /**
     * Configures the server.
     *
     * @param config The configuration to fill.
     */
    private void configure(JavalinConfig config) {
        config.startup.showJavalinBanner = false;
        config.startup.startupWatcherEnabled = false;
        config.http.maxRequestSize = 2L * MAXIMUM_VALUE_BYTES;
        config.jetty.modifyHttpConfiguration(http -> http.setUriCompliance(UriCompliance.UNSAFE));
        config.jetty.modifyServletContextHandler(
                handler -> handler.getServletHandler().setDecodeAmbiguousURIs(true));
        config.routes.get("/objects/{kind}/<name>", this::read);
        config.routes.put("/objects/{kind}/<name>", this::write);
        config.routes.delete("/objects/{kind}/<name>", this::delete);
        config.routes.get("/objects/{kind}", this::list);
        config.routes.get("/watch/{kind}", this::watch);
        config.routes.get("/virtual-machines", this::listVirtualMachines);
        new ControlRoutes(this, objects, virtualMachines, counts).register(config.routes);
    }

    /**
     * Reads an object.
     *
     * @param context The context of the call.
     */
    private void read(Context context) {
        serve(
                context,
                CallKind.READ,
                _context -> completed(Answer.object(
                        objects.read(context.pathParam("kind"), context.pathParam("name"), faults.replicaLag()))));
    }

    /**
     * Lists a kind.
     *
     * @param context The context of the call.
     */
    private void list(Context context) {
        serve(
                context,
                CallKind.LIST,
                _context -> completed(Answer.listed(objects.list(context.pathParam("kind"), faults.replicaLag()))));
    }

    /**
     * Watches a kind.
     *
     * @param context The context of the call.
     */
    private void watch(Context context) {
        long after = longParameter(context, "after");
        long wait = Math.min(MAXIMUM_WAIT_MILLIS, longParameter(context, "waitMillis"));
        serve(
                context,
                CallKind.WATCH,
                _context -> watches.add(context.pathParam("kind"), after, Duration.ofMillis(wait)));
    }

    /**
     * Lists the VMs.
     *
     * @param context The context of the call.
     */
    private void listVirtualMachines(Context context) {
        serve(
                context,
                CallKind.VIRTUAL_MACHINES,
                _context -> completed(Answer.json(ControlRoutes.virtualMachineDocument(virtualMachines.visible()))));
    }

    /**
     * Writes an object.
     *
     * @param context The context of the call.
     */
    private void write(Context context) {
        ByteString value = ByteString.of(context.bodyAsBytes());
        boolean creates = "*".equals(context.header("If-None-Match"));
        OptionalLong expected = creates ? OptionalLong.empty() : ifMatch(context);
        if (!creates && expected.isEmpty()) {
            serve(context, CallKind.WRITE, _context -> completed(Answer.empty(Answer.BAD_REQUEST)));
        } else if (value.size() > MAXIMUM_VALUE_BYTES) {
            serve(context, CallKind.WRITE, _context -> completed(Answer.empty(Answer.TOO_LARGE)));
        } else {
            serve(
                    context,
                    CallKind.WRITE,
                    _context -> change(
                            context,
                            () -> objects.write(
                                    context.pathParam("kind"), context.pathParam("name"), expected, value)));
        }
    }

    /**
     * Deletes an object.
     *
     * @param context The context of the call.
     */
    private void delete(Context context) {
        OptionalLong expected = ifMatch(context);
        if (expected.isEmpty()) {
            serve(context, CallKind.DELETE, _context -> completed(Answer.empty(Answer.BAD_REQUEST)));
            return;
        }
        serve(
                context,
                CallKind.DELETE,
                _context -> change(
                        context,
                        () -> objects.delete(
                                context.pathParam("kind"), context.pathParam("name"), expected.getAsLong())));
    }

    /**
     * Executes a change, or simulates the loss of the change or its answer.
     *
     * @param context The context of the call.
     * @param change The change.
     * @return The answer, which never completes if it is lost.
     */
    private CompletableFuture<Answer> change(Context context, Supplier<WriteResult> change) {
        LossKind loss = faults.nextLoss();
        if (loss != LossKind.REQUEST) {
            Answer answer = Answer.written(change.get());
            if (loss == LossKind.NONE) {
                return completed(answer);
            }
        }
        counts.answered(CallKind.WRITE, "lost");
        closeConnection(context);
        return new CompletableFuture<>();
    }

    /**
     * Serves a call, subject to the active faults and limits.
     *
     * @param context The context of the call.
     * @param call The kind of call.
     * @param handler The handler that answers the call.
     */
    private void serve(Context context, CallKind call, Function<Context, CompletableFuture<Answer>> handler) {
        counts.arrived(call, call == CallKind.VIRTUAL_MACHINES ? "" : context.pathParam("kind"));
        if (faults.outage() == Outage.SILENT) {
            counts.answered(call, "none");
            context.future(CompletableFuture::new);
            return;
        }
        CompletableFuture<Answer> answer =
                refusal(context, call).map(PlatformStandIn::completed).orElseGet(() -> handler.apply(context));
        context.future(() -> answer.thenAcceptAsync(
                ready -> {
                    counts.answered(call, Integer.toString(ready.status()));
                    ready.send(context);
                },
                answerExecutor()));
    }

    /**
     * Checks whether a call is refused.
     *
     * @param context The context of the call.
     * @param call The kind of call.
     * @return The refusal, or empty if the call is served.
     */
    private Optional<Answer> refusal(Context context, CallKind call) {
        if (faults.outage() == Outage.ERROR) {
            return Optional.of(Answer.empty(Answer.UNAVAILABLE));
        }
        if (token.isPresent() && !("Bearer " + token.get()).equals(context.header("Authorization"))) {
            return Optional.of(Answer.empty(Answer.UNAUTHORIZED));
        }
        RateLimit limit = call.isChanging() ? writeLimit : readLimit;
        return limit.tryAcquire() ? Optional.empty() : Optional.of(Answer.empty(Answer.TOO_MANY_REQUESTS));
    }

    /**
     * Returns the executor that sends answers, after the active delay.
     *
     * @return The executor.
     */
    private Executor answerExecutor() {
        Duration delay = faults.delay();
        return delay.isZero()
                ? Runnable::run
                : CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Closes the connection of a call.
     *
     * @param context The context of the call.
     */
    private static void closeConnection(Context context) {
        ServletContextRequest.getServletContextRequest(context.req())
                .getConnectionMetaData()
                .getConnection()
                .getEndPoint()
                .close();
    }

    /**
     * Returns the version that a call expects the object to have.
     *
     * @param context The context of the call.
     * @return The version, or empty if the call specifies none.
     */
    private static OptionalLong ifMatch(Context context) {
        String header = context.header("If-Match");
        return header == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(header.replace("\"", "")));
    }

    /**
     * Returns a query parameter.
     *
     * @param context The context of the call.
     * @param name The parameter's name.
     * @return The number, or zero if the call does not contain it.
     */
    private static long longParameter(Context context, String name) {
        String text = context.queryParam(name);
        return text == null ? 0 : Long.parseLong(text);
    }

    /**
     * Wraps an available answer.
     *
     * @param answer The answer.
     * @return The completed future.
     */
    private static CompletableFuture<Answer> completed(Answer answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
