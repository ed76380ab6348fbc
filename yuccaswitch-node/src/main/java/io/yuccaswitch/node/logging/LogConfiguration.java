package io.yuccaswitch.node.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.LoggerFactory;

/** Configures Logback, and changes levels at run time. */
public final class LogConfiguration {

    /** The name of the root logger in settings and requests. */
    public static final String ROOT = "root";

    /** The pattern of log lines with keys and values. */
    private static final String PATTERN =
            "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level=%level logger=%logger{0} thread=\"%thread\" %msg%n";

    /** The default levels of the loggers of verbose libraries. */
    private static final Map<String, Level> LIBRARY_LEVELS =
            Map.of("org.eclipse.jetty", Level.WARN, "io.javalin", Level.WARN, "okhttp3", Level.WARN);

    /** The maximum number of lines that wait to be written. */
    private static final int QUEUE_CAPACITY = 2048;

    /** This class has no instances. */
    private LogConfiguration() {}

    /**
     * Applies settings to Logback, replacing its previous configuration.
     *
     * @param settings The settings.
     */
    public static void apply(LogSettings settings) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder(settings.format(), context));
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(queue(appender, context));
        LIBRARY_LEVELS.forEach((name, level) -> context.getLogger(name).setLevel(level));
        settings.levels().forEach(LogConfiguration::setLevel);
    }

    /**
     * Changes the level of a logger.
     *
     * @param name The logger's name, or {@link #ROOT}.
     * @param level The level, such as {@code DEBUG}. An unknown level is treated as {@code INFO}.
     */
    public static void setLevel(String name, String level) {
        logger(name).setLevel(Level.toLevel(level, Level.INFO));
    }

    /**
     * Returns the levels that were set explicitly.
     *
     * @return The levels by the names of their loggers.
     */
    public static Map<String, String> levels() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        Map<String, String> levels = new TreeMap<>();
        for (Logger logger : context.getLoggerList()) {
            if (logger.getLevel() != null) {
                levels.put(logger.getName(), logger.getLevel().toString());
            }
        }
        return levels;
    }

    /**
     * Finds a logger.
     *
     * @param name The logger's name, or {@link #ROOT}.
     * @return The logger.
     */
    private static Logger logger(String name) {
        String resolved = name.equalsIgnoreCase(ROOT) ? org.slf4j.Logger.ROOT_LOGGER_NAME : name;
        return ((LoggerContext) LoggerFactory.getILoggerFactory()).getLogger(resolved);
    }

    /**
     * Puts a bounded queue before an appender. Logging threads never block on a slow reader of the log: lines are
     * dropped while the queue is full.
     *
     * @param appender The appender.
     * @param context The context.
     * @return The queue.
     */
    private static AsyncAppender queue(ConsoleAppender<ILoggingEvent> appender, LoggerContext context) {
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(QUEUE_CAPACITY);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.addAppender(appender);
        queue.start();
        return queue;
    }

    /** Writes the queued lines within a short time limit. Must be called right before the process ends. */
    public static void close() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    /**
     * Creates the encoder of a format.
     *
     * @param format The format.
     * @param context The context of Logback.
     * @return The started encoder.
     */
    private static Encoder<ILoggingEvent> encoder(LogFormat format, LoggerContext context) {
        if (format == LogFormat.JSON) {
            JsonEncoder encoder = new JsonEncoder();
            encoder.setContext(context);
            encoder.start();
            return encoder;
        }
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(PATTERN);
        encoder.start();
        return encoder;
    }
}
