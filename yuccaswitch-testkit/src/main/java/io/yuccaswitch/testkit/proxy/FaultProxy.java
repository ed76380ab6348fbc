package io.yuccaswitch.testkit.proxy;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.NotFoundResponse;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A set of fault-injecting links between processes, controlled over HTTP. */
public final class FaultProxy implements AutoCloseable {

    /** The links by name. */
    private final Map<String, Link> links = new ConcurrentHashMap<>();

    /** The server of the control interface. */
    private final Javalin server = Javalin.create(this::configure);

    /** Creates a proxy without links. */
    private FaultProxy() {}

    /**
     * Starts a proxy without links.
     *
     * @param port The port of the control interface on the loopback address, or zero for any free one.
     * @return The proxy.
     */
    public static FaultProxy start(int port) {
        FaultProxy proxy = new FaultProxy();
        proxy.server.start("127.0.0.1", port);
        return proxy;
    }

    /**
     * Returns the port of the control interface.
     *
     * @return The port on the loopback address.
     */
    public int port() {
        return server.port();
    }

    /**
     * Adds a link.
     *
     * @param name The link's name.
     * @param port The port on the loopback address, or zero for any free one.
     * @param target The address of the target, as an IP number and a port.
     * @return The link.
     */
    public Link add(String name, int port, String target) {
        HostAndPort parts = HostAndPort.fromString(target);
        InetSocketAddress address = new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
        Link link = new Link(port, address);
        links.put(name, link);
        return link;
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        server.stop();
        links.values().forEach(Link::close);
    }

    /**
     * Configures the control interface.
     *
     * @param config The configuration to fill.
     */
    private void configure(JavalinConfig config) {
        config.startup.showJavalinBanner = false;
        config.startup.startupWatcherEnabled = false;
        config.routes.get("/links", context -> context.json(states()));
        config.routes.post("/links", this::addLink);
        config.routes.post("/links/{name}/faults", context -> link(context).apply(faults(context)));
        config.routes.post(
                "/links/{name}/cut-connections", context -> link(context).cutConnections());
    }

    /**
     * Adds a link and returns its address to the caller.
     *
     * @param context The context of the call.
     */
    private void addLink(Context context) {
        String name = query(context, "name").orElseThrow(NotFoundResponse::new);
        String target = query(context, "target").orElseThrow(NotFoundResponse::new);
        Link link = add(name, (int) number(context, "port"), target);
        context.json(Map.of("address", "127.0.0.1:" + link.port()));
    }

    /**
     * Returns the states of all links.
     *
     * @return The states by link name.
     */
    private Map<String, LinkState> states() {
        Map<String, LinkState> states = new TreeMap<>();
        links.forEach((name, link) -> states.put(name, new LinkState(link.port(), link.counts())));
        return states;
    }

    /**
     * Returns the link that a call refers to.
     *
     * @param context The context of the call.
     * @return The link.
     */
    private Link link(Context context) {
        return Optional.ofNullable(links.get(context.pathParam("name"))).orElseThrow(NotFoundResponse::new);
    }

    /**
     * Reads the faults from the query. Faults that the query does not contain are inactive.
     *
     * @param context The context of the call.
     * @return The faults.
     */
    private static LinkFaults faults(Context context) {
        LinkMode mode = query(context, "mode")
                .map(text -> LinkMode.valueOf(text.toUpperCase(Locale.ROOT)))
                .orElse(LinkMode.PASS);
        Map<Direction, Long> resets = new EnumMap<>(Direction.class);
        query(context, "resetAfterUp").ifPresent(text -> resets.put(Direction.UP, Long.parseLong(text)));
        query(context, "resetAfterDown").ifPresent(text -> resets.put(Direction.DOWN, Long.parseLong(text)));
        Set<Direction> cut = EnumSet.noneOf(Direction.class);
        query(context, "cut").ifPresent(text -> cut.add(Direction.valueOf(text.toUpperCase(Locale.ROOT))));
        Duration delay = Duration.ofMillis(number(context, "delayMillis"));
        return new LinkFaults(mode, delay, resets, number(context, "bytesPerSecond"), cut);
    }

    /**
     * Returns a query parameter.
     *
     * @param context The context of the call.
     * @param name The parameter's name.
     * @return The text, or empty if the call does not contain it.
     */
    private static Optional<String> query(Context context, String name) {
        return Optional.ofNullable(context.queryParam(name));
    }

    /**
     * Returns an integer from the query.
     *
     * @param context The context of the call.
     * @param name The parameter's name.
     * @return The number, or zero if the call does not contain it.
     */
    private static long number(Context context, String name) {
        return query(context, name).map(Long::parseLong).orElse(0L);
    }

    /**
     * The state of a link.
     *
     * @param port The port on the loopback address.
     * @param counts The counts.
     */
    private record LinkState(int port, Link.Counts counts) {}
}
