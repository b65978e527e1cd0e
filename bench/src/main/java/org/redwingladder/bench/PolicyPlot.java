package org.redwingladder.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Draws lines over two axes as an SVG file. */
final class PolicyPlot {
    private static final int WIDTH = 760;
    private static final int HEIGHT = 420;
    private static final int LEFT = 70;
    private static final int RIGHT = 230;
    private static final int TOP = 40;
    private static final int BOTTOM = 50;
    private static final String[] COLOURS = {
        "#1b6ca8", "#c0392b", "#27864a", "#8e44ad", "#d68910", "#566573", "#0e8f8f", "#111111"
    };

    private final String mTitle;
    private final String mXLabel;
    private final String mYLabel;
    private final boolean mLog;
    private final Map<String, List<double[]>> mLines = new LinkedHashMap<>();

    PolicyPlot(String title, String xLabel, String yLabel, boolean log) {
        mTitle = title;
        mXLabel = xLabel;
        mYLabel = yLabel;
        mLog = log;
    }

    void point(String line, double x, double y) {
        mLines.computeIfAbsent(line, l -> new ArrayList<>()).add(new double[] {x, y});
    }

    void write(Path file) throws IOException {
        Files.createDirectories(file.getParent());
        Files.writeString(file, svg());
    }

    private double scaled(double y) {
        return mLog ? Math.log10(Math.max(0.1, y)) : y;
    }

    private String svg() {
        double maxX = 0;
        double minX = Double.MAX_VALUE;
        double maxY = Double.NEGATIVE_INFINITY;
        double minY = mLog ? Double.MAX_VALUE : 0;
        for (List<double[]> line : mLines.values()) {
            for (double[] point : line) {
                maxX = Math.max(maxX, point[0]);
                minX = Math.min(minX, point[0]);
                maxY = Math.max(maxY, scaled(point[1]));
                minY = Math.min(minY, scaled(point[1]));
            }
        }
        if (mLog) {
            maxY = Math.ceil(maxY);
            minY = Math.floor(minY);
        } else {
            maxY *= 1.05;
        }
        Scale scale = new Scale(minX, maxX, minY, Math.max(maxY, minY + 1));
        StringBuilder svg = new StringBuilder();
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                                + " font-family=\"sans-serif\" font-size=\"12\">%n"
                                + "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                        WIDTH,
                        HEIGHT));
        text(svg, LEFT, 22, "start", mTitle);
        text(svg, (LEFT + WIDTH - RIGHT) / 2.0, HEIGHT - 12, "middle", mXLabel);
        text(svg, 8, TOP - 4, "start", mYLabel);
        axes(svg, scale);
        int index = 0;
        for (Map.Entry<String, List<double[]>> line : mLines.entrySet()) {
            line(svg, scale, index++, line.getKey(), line.getValue());
        }
        return svg.append("</svg>\n").toString();
    }

    /** Turns values into places on the page. */
    private record Scale(double minX, double maxX, double minY, double maxY) {
        double x(double value) {
            return LEFT + (value - minX) / (maxX - minX) * (WIDTH - RIGHT - LEFT);
        }

        double y(double value) {
            return HEIGHT - BOTTOM - (value - minY) / (maxY - minY) * (HEIGHT - BOTTOM - TOP);
        }
    }

    private void axes(StringBuilder svg, Scale scale) {
        int steps = mLog ? (int) Math.round(scale.maxY() - scale.minY()) : 5;
        for (int i = 0; i <= steps; i++) {
            double value = scale.minY() + i * (scale.maxY() - scale.minY()) / steps;
            double y = scale.y(value);
            rule(svg, LEFT, y, WIDTH - RIGHT, y);
            text(svg, LEFT - 6, y + 4, "end", number(mLog ? Math.pow(10, value) : value));
        }
        for (int i = 0; i <= 5; i++) {
            double value = scale.minX() + i * (scale.maxX() - scale.minX()) / 5;
            double x = scale.x(value);
            rule(svg, x, HEIGHT - BOTTOM, x, HEIGHT - BOTTOM + 4);
            text(svg, x, HEIGHT - BOTTOM + 18, "middle", number(value));
        }
    }

    private void line(
            StringBuilder svg, Scale scale, int index, String name, List<double[]> points) {
        String colour = COLOURS[index % COLOURS.length];
        StringBuilder path = new StringBuilder();
        for (double[] point : points) {
            path.append(
                    String.format(
                            Locale.ROOT,
                            "%.1f,%.1f ",
                            scale.x(point[0]),
                            scale.y(scaled(point[1]))));
        }
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\""
                                + " points=\"%s\"/>%n",
                        colour,
                        path.toString().trim()));
        double y = TOP + 10 + 18 * index;
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<rect x=\"%d\" y=\"%.0f\" width=\"14\" height=\"4\" fill=\"%s\"/>%n",
                        WIDTH - RIGHT + 12,
                        y - 6,
                        colour));
        text(svg, WIDTH - RIGHT + 32, y, "start", name);
    }

    private static void rule(StringBuilder svg, double x1, double y1, double x2, double y2) {
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\""
                                + " stroke=\"#cccccc\"/>%n",
                        x1,
                        y1,
                        x2,
                        y2));
    }

    private static void text(StringBuilder svg, double x, double y, String anchor, String text) {
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>%n",
                        x,
                        y,
                        anchor,
                        text));
    }

    private static String number(double value) {
        String format = value == Math.rint(value) || value >= 100 ? "%.0f" : "%.1f";
        return String.format(Locale.ROOT, format, value);
    }
}
