package io.fescuehold.runtime.admin;

import java.util.Locale;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;

/**
 * Shows a metric registry as lines of text that the usual collectors read: a name, a
 * blank and a number. Durations are in milliseconds.
 */
public final class MetricsText {

	private MetricsText() {
	}

	/**
	 * Writes all metrics that have a number as value.
	 * @param registry the registry
	 * @return the lines
	 */
	public static String of(MetricRegistry registry) {
		StringBuilder text = new StringBuilder();
		MetricsJson.of(registry).forEach((name, value) -> append(text, name(name), value));
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

	private static String name(String metric) {
		return "fescuehold_" + metric.replaceAll("[^A-Za-z0-9]", "_").toLowerCase(Locale.ROOT);
	}

}
