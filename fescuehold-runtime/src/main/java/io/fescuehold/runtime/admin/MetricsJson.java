package io.fescuehold.runtime.admin;

import java.util.SortedMap;
import java.util.TreeMap;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metered;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Converts a metric registry to an object that Jackson serialises as JSON.
 */
final class MetricsJson {

	private static final double NANOS_PER_MS = 1_000_000;

	private MetricsJson() {
	}

	/**
	 * Returns the values of all metrics. Durations of timers are in milliseconds.
	 * @param registry the registry
	 * @return the values by metric name
	 */
	static SortedMap<String, Object> of(MetricRegistry registry) {
		SortedMap<String, Object> values = new TreeMap<>();
		registry.getMetrics().forEach((name, metric) -> values.put(name, value(metric)));
		return values;
	}

	private static Object value(Metric metric) {
		if (metric instanceof Gauge<?> gauge) {
			return gaugeValue(gauge);
		}
		if (metric instanceof Counter counter) {
			return counter.getCount();
		}
		SortedMap<String, Object> value = new TreeMap<>();
		if (metric instanceof Counting counting) {
			value.put("count", counting.getCount());
		}
		if (metric instanceof Metered metered) {
			value.put("rate1MinPerS", metered.getOneMinuteRate());
			value.put("rateMeanPerS", metered.getMeanRate());
		}
		if (metric instanceof Sampling sampling) {
			addDistribution(value, sampling.getSnapshot(), (metric instanceof Timer) ? NANOS_PER_MS : 1);
		}
		return value;
	}

	private static Object gaugeValue(Gauge<?> gauge) {
		try {
			return gauge.getValue();
		}
		catch (RuntimeException ex) {
			return "failed: " + ex.getMessage();
		}
	}

	private static void addDistribution(SortedMap<String, Object> value, Snapshot snapshot, double divisor) {
		value.put("min", snapshot.getMin() / divisor);
		value.put("mean", snapshot.getMean() / divisor);
		value.put("p50", snapshot.getMedian() / divisor);
		value.put("p95", snapshot.get95thPercentile() / divisor);
		value.put("p99", snapshot.get99thPercentile() / divisor);
		value.put("max", snapshot.getMax() / divisor);
	}

}
