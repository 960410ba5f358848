package io.fescuehold.bench.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A scatter plot as SVG.
 */
public final class SvgPlot {

	private static final int WIDTH = 720;

	private static final int HEIGHT = 420;

	private static final int LEFT = 60;

	private static final int RIGHT = 200;

	private static final int TOP = 40;

	private static final int BOTTOM = 50;

	private static final int TICKS = 5;

	private static final int LINE_HEIGHT = 20;

	private static final double MARGIN = 0.05;

	private static final List<String> COLOURS = List.of("#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00",
			"#56b4e9", "#7f7f7f", "#000000");

	private final String title;

	private final String xLabel;

	private final String yLabel;

	private final Map<String, List<double[]>> series = new LinkedHashMap<>();

	/**
	 * Creates an empty plot.
	 * @param title the title
	 * @param xLabel the label of the horizontal axis
	 * @param yLabel the label of the vertical axis
	 */
	public SvgPlot(String title, String xLabel, String yLabel) {
		this.title = title;
		this.xLabel = xLabel;
		this.yLabel = yLabel;
	}

	/**
	 * Adds a point.
	 * @param name the series of the point
	 * @param x the horizontal value
	 * @param y the vertical value
	 */
	public void point(String name, double x, double y) {
		this.series.computeIfAbsent(name, (key) -> new ArrayList<>()).add(new double[] { x, y });
	}

	/**
	 * Draws the plot.
	 * @return the SVG document
	 */
	public String svg() {
		double[] xRange = range(0);
		double[] yRange = range(1);
		StringBuilder svg = new StringBuilder();
		svg.append(format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
				+ " font-family=\"sans-serif\" font-size=\"12\">\n", WIDTH, HEIGHT));
		svg.append("<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n");
		svg.append(text(LEFT, TOP / 2, "start", this.title));
		svg.append(text((LEFT + WIDTH - RIGHT) / 2.0, HEIGHT - 10, "middle", this.xLabel));
		svg.append(text(LEFT, TOP - 6, "start", this.yLabel));
		svg.append(format("<path d=\"M%d %dV%dH%d\" fill=\"none\" stroke=\"black\"/>\n", LEFT, TOP, HEIGHT - BOTTOM,
				WIDTH - RIGHT));
		for (int tick = 0; tick <= TICKS; tick++) {
			double portion = (double) tick / TICKS;
			double x = xRange[0] + portion * (xRange[1] - xRange[0]);
			double y = yRange[0] + portion * (yRange[1] - yRange[0]);
			svg.append(text(xAt(x, xRange), HEIGHT - BOTTOM + LINE_HEIGHT, "middle", format("%.2f", x)));
			svg.append(text(LEFT - 6, yAt(y, yRange) + 4, "end", format("%.1f", y)));
		}
		int number = 0;
		for (Map.Entry<String, List<double[]>> entry : this.series.entrySet()) {
			String colour = COLOURS.get(number % COLOURS.size());
			for (double[] point : entry.getValue()) {
				svg.append(circle(xAt(point[0], xRange), yAt(point[1], yRange), colour));
			}
			int y = TOP + number * LINE_HEIGHT;
			svg.append(circle(WIDTH - RIGHT + LINE_HEIGHT, y, colour));
			svg.append(text(WIDTH - RIGHT + 2 * LINE_HEIGHT, y + 4, "start", entry.getKey()));
			number++;
		}
		return svg.append("</svg>\n").toString();
	}

	private double[] range(int axis) {
		double low = Double.POSITIVE_INFINITY;
		double high = Double.NEGATIVE_INFINITY;
		for (List<double[]> points : this.series.values()) {
			for (double[] point : points) {
				low = Math.min(low, point[axis]);
				high = Math.max(high, point[axis]);
			}
		}
		double margin = Math.max(MARGIN, MARGIN * (high - low));
		return new double[] { low - margin, high + margin };
	}

	private static double xAt(double x, double[] range) {
		return LEFT + (x - range[0]) / (range[1] - range[0]) * (WIDTH - RIGHT - LEFT);
	}

	private static double yAt(double y, double[] range) {
		return HEIGHT - BOTTOM - (y - range[0]) / (range[1] - range[0]) * (HEIGHT - BOTTOM - TOP);
	}

	private static String circle(double x, double y, String colour) {
		return format("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"4\" fill=\"%s\" fill-opacity=\"0.7\"/>\n", x, y, colour);
	}

	private static String text(double x, double y, String anchor, String content) {
		return format("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y, anchor, content);
	}

	private static String format(String pattern, Object... values) {
		return String.format(Locale.ROOT, pattern, values);
	}

}
