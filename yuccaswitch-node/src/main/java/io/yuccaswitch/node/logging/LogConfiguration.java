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

/** Sets up the log back end, and changes levels while the process runs. */
public final class LogConfiguration {

    /** The name that stands for the root logger. */
    public static final String ROOT = "root";

    /** The pattern of lines of keys and values. */
    private static final String PATTERN =
            "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level=%level logger=%logger{0} thread=\"%thread\" %msg%n";

    /** The loggers of libraries that are quiet unless settings say otherwise. */
    private static final Map<String, Level> QUIET =
            Map.of("org.eclipse.jetty", Level.WARN, "io.javalin", Level.WARN, "okhttp3", Level.WARN);

    /** The number of lines that may wait for the reader of the log. */
    private static final int QUEUED_LINES = 2048;

    /** This class has no instances. */
    private LogConfiguration() {}

    /**
     * Applies settings to the log back end, replacing whatever was set up before.
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
        QUIET.forEach((name, level) -> context.getLogger(name).setLevel(level));
        settings.levels().forEach(LogConfiguration::setLevel);
    }

    /**
     * Changes the level of a logger.
     *
     * @param name The logger's name, or {@link #ROOT}.
     * @param level The level, such as {@code DEBUG}. An unknown one counts as {@code INFO}.
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
     * Puts a bounded queue before an appender. Threads that log never wait for the reader of the log: while the queue
     * is full, lines are dropped.
     *
     * @param appender The appender.
     * @param context The context.
     * @return The queue.
     */
    private static AsyncAppender queue(ConsoleAppender<ILoggingEvent> appender, LoggerContext context) {
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(QUEUED_LINES);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.addAppender(appender);
        queue.start();
        return queue;
    }

    /** Writes the lines that wait, for a short time at most. It is called right before the process ends. */
    public static void close() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    /**
     * Creates the encoder of a format.
     *
     * @param format The format.
     * @param context The context of the log back end.
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
