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

/** Renders status samples as an HTML page with embedded plots, one for each number that changed. */
public final class FleetReport {

    /** The width of a plot in pixels. */
    private static final int PLOT_WIDTH_PIXELS = 640;

    /** The height of a plot in pixels. */
    private static final int PLOT_HEIGHT_PIXELS = 280;

    /** The maximum number of plots, which keeps the page readable. */
    private static final int MAXIMUM_PLOTS = 60;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /** The HTML header of the page. */
    private static final String PAGE_HEADER =
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
     * Renders the page.
     *
     * @param samples The samples, at least one.
     * @return The page as HTML.
     */
    public static String html(List<StatusSample> samples) {
        System.setProperty("java.awt.headless", "true");
        Instant start = samples.get(0).time();
        StringBuilder page = new StringBuilder(PAGE_HEADER);
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
     * Appends the nodes with all values of their last status.
     *
     * @param sample The last sample.
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
     * Collects the numbers of all samples.
     *
     * @param samples The samples.
     * @param start The time of the first sample.
     * @return The plots by the paths of the numbers.
     */
    private static SortedMap<String, Plot> plots(List<StatusSample> samples, Instant start) {
        SortedMap<String, Plot> plots = new TreeMap<>();
        for (StatusSample sample : samples) {
            double seconds = Duration.between(start, sample.time()).toMillis() / MILLIS_PER_SECOND;
            for (NodeReply reply : sample.replies()) {
                StatusValues.numbers(reply.body()).forEach((path, number) -> plots.computeIfAbsent(
                                path, plotPath -> new Plot(plotPath, new TreeMap<>()))
                        .add(reply.node(), seconds, number));
            }
        }
        return plots;
    }

    /**
     * Renders a plot as an embedded image.
     *
     * @param plot The plot.
     * @return The image as HTML.
     */
    private static String image(Plot plot) {
        XYChart chart = new XYChartBuilder()
                .width(PLOT_WIDTH_PIXELS)
                .height(PLOT_HEIGHT_PIXELS)
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
     * Escapes a text for HTML.
     *
     * @param text The text.
     * @return The escaped text.
     */
    private static String escape(String text) {
        return HtmlEscapers.htmlEscaper().escape(text);
    }

    /**
     * The values of a number at all nodes.
     *
     * @param path The path of the number.
     * @param series The values by node name.
     */
    private record Plot(String path, SortedMap<String, Line> series) {

        /**
         * Adds a value.
         *
         * @param node The name of the node.
         * @param second The time of the value in seconds since the first sample.
         * @param number The number.
         */
        void add(String node, double second, double number) {
            Line line = series.computeIfAbsent(node, _name -> new Line(new ArrayList<>(), new ArrayList<>()));
            line.seconds().add(second);
            line.numbers().add(number);
        }

        /**
         * Returns whether the number changed at a node.
         *
         * @return {@code true} if it changed.
         */
        boolean isChanging() {
            return series.entrySet().stream()
                    .map(Map.Entry::getValue)
                    .anyMatch(line -> line.numbers().stream().distinct().count() > 1);
        }
    }

    /**
     * The values of a number at a node.
     *
     * @param seconds The times of the values in seconds since the first sample.
     * @param numbers The numbers.
     */
    private record Line(List<Double> seconds, List<Double> numbers) {}
}
