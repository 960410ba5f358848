package io.fescuehold.runtime.admin;

import java.util.Locale;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;

/**
 * Converts a metric registry to text that common metric collectors can read: one line per
 * value with a name, a space and a number. Durations are in milliseconds.
 */
public final class MetricsText {

	private MetricsText() {
	}

	/**
	 * Returns all metrics with numeric values.
	 * @param registry the registry
	 * @return the lines
	 */
	public static String of(MetricRegistry registry) {
		StringBuilder text = new StringBuilder();
		MetricsJson.of(registry).forEach((name, value) -> append(text, toCollectorName(name), value));
		return text.toString();
	}

	private static void append(StringBuilder text, String name, Object value) {
		if (value instanceof Map<?, ?> values) {
			values.forEach((part, number) -> append(text, name + "_" + part, number));
		}
		else if (value instanceof Number number) {
			text.append(name).append(' ').append(number).append('\n');
		}
	}

	private static String toCollectorName(String metric) {
		return "fescuehold_" + metric.replaceAll("[^A-Za-z0-9]", "_").toLowerCase(Locale.ROOT);
	}

}
