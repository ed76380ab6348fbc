package io.yuccaswitch.command.report;

import com.google.common.html.HtmlEscapers;
import io.yuccaswitch.command.operator.NodeReply;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Writes readings of the status as one HTML page with embedded plots: one for each number that changed. */
public final class FleetReport {

    /** The width of a plot. */
    private static final int WIDTH = 640;

    /** The height of a plot. */
    private static final int HEIGHT = 280;

    /** The largest number of plots, for a page that can still be read. */
    private static final int MAXIMUM_PLOTS = 60;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /** The head of the page. */
    private static final String HEAD =
            """
            <!DOCTYPE html>
            <html lang="en"><head><meta charset="utf-8"><title>yuccaswitch report</title>
            <style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}
            td,th{border:1px solid #999;padding:.2em .6em;text-align:left}</style></head><body>
            <h1>yuccaswitch report</h1>
            """;

    /** This class has no instances. */
    private FleetReport() {}

    /**
     * Writes the page.
     *
     * @param samples The readings, at least one.
     * @return The page as HTML.
     */
    public static String html(List<StatusSample> samples) {
        System.setProperty("java.awt.headless", "true");
        Instant start = samples.get(0).time();
        StringBuilder page = new StringBuilder(HEAD);
        page.append("<p>").append(samples.size()).append(" readings from ").append(start);
        page.append(" to ").append(samples.get(samples.size() - 1).time()).append(".</p>\n");
        appendNodes(samples.get(samples.size() - 1), page);
        SortedMap<String, Plot> plots = plots(samples, start);
        List<Plot> changing = plots.values().stream().filter(Plot::isChanging).toList();
        page.append("<h2>Numbers that changed</h2>\n");
        changing.stream().limit(MAXIMUM_PLOTS).forEach(plot -> page.append(image(plot)));
        if (changing.size() > MAXIMUM_PLOTS) {
            page.append("<p>").append(changing.size() - MAXIMUM_PLOTS).append(" more were left out.</p>\n");
        }
        return page.append("</body></html>\n").toString();
    }

    /**
     * Writes the table of the nodes and all values of their last status.
     *
     * @param sample The last reading.
     * @param page The page to add to.
     */
    private static void appendNodes(StatusSample sample, StringBuilder page) {
        page.append("<h2>Nodes</h2>\n");
        for (NodeReply reply : sample.replies()) {
            String summary = reply.isDone() ? reply.node() + " at " + reply.address() : reply.describeFailure();
            page.append("<details><summary>").append(escape(summary)).append("</summary><table>\n");
            StatusValues.all(reply.body()).forEach((path, value) -> page.append("<tr><td>")
                    .append(escape(path))
                    .append("</td><td>")
                    .append(escape(value))
                    .append("</td></tr>\n"));
            page.append("</table></details>\n");
        }
    }

    /**
     * Collects the numbers of all readings.
     *
     * @param samples The readings.
     * @param start The time of the first reading.
     * @return The plots by the paths of the numbers.
     */
    private static SortedMap<String, Plot> plots(List<StatusSample> samples, Instant start) {
        SortedMap<String, Plot> plots = new TreeMap<>();
        for (StatusSample sample : samples) {
            double seconds = Duration.between(start, sample.time()).toMillis() / MILLIS_PER_SECOND;
            for (NodeReply reply : sample.replies()) {
                StatusValues.numbers(reply.body()).forEach((path, number) -> plots.computeIfAbsent(
                                path, known -> new Plot(known, new TreeMap<>()))
                        .add(reply.node(), seconds, number));
            }
        }
        return plots;
    }

    /**
     * Draws a plot as an image within the page.
     *
     * @param plot The plot.
     * @return The image as HTML.
     */
    private static String image(Plot plot) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(plot.path())
                .xAxisTitle("seconds")
                .build();
        chart.getStyler().setLegendPosition(LegendPosition.OutsideE);
        plot.series().forEach((node, line) -> chart.addSeries(node, line.seconds(), line.numbers())
                .setMarker(SeriesMarkers.NONE));
        ByteArrayOutputStream image = new ByteArrayOutputStream();
        try {
            VectorGraphicsEncoder.saveVectorGraphic(chart, image, VectorGraphicsFormat.SVG);
        } catch (IOException e) {
            throw new UncheckedIOException("Writing to memory failed", e);
        }
        return "<p><img alt=\"" + escape(plot.path()) + "\" src=\"data:image/svg+xml;base64,"
                + Base64.getEncoder().encodeToString(image.toByteArray()) + "\"></p>\n";
    }

    /**
     * Escapes a text.
     *
     * @param text The text.
     * @return The text as HTML.
     */
    private static String escape(String text) {
        return HtmlEscapers.htmlEscaper().escape(text);
    }

    /**
     * The readings of a number on all nodes.
     *
     * @param path The path of the number.
     * @param series The readings by the names of the nodes.
     */
    private record Plot(String path, SortedMap<String, Line> series) {

        /**
         * Adds a reading.
         *
         * @param node The name of the node.
         * @param second The time of the reading.
         * @param number The number.
         */
        void add(String node, double second, double number) {
            Line line = series.computeIfAbsent(node, _name -> new Line(new ArrayList<>(), new ArrayList<>()));
            line.seconds().add(second);
            line.numbers().add(number);
        }

        /**
         * Returns whether the number changed on a node.
         *
         * @return {@code true} if it did.
         */
        boolean isChanging() {
            return series.entrySet().stream()
                    .map(Map.Entry::getValue)
                    .anyMatch(line -> line.numbers().stream().distinct().count() > 1);
        }
    }

    /**
     * The readings of a number on a node.
     *
     * @param seconds The times of the readings.
     * @param numbers The numbers.
     */
    private record Line(List<Double> seconds, List<Double> numbers) {}
}
