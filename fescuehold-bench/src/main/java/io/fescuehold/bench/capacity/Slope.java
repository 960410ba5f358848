package io.fescuehold.bench.capacity;

import java.util.function.IntToDoubleFunction;

/**
 * A quantity that is measured at several sizes and extrapolated by a linear fit.
 *
 * @param name what is measured
 * @param sizeName the name of the size that the quantity depends on
 * @param unit the unit of the quantity
 * @param sizes the sizes, at least three
 * @param targetSize the size to which the fit is extrapolated
 * @param measure measures the quantity at a size
 */
public record Slope(String name, String sizeName, String unit, int[] sizes, int targetSize,
		IntToDoubleFunction measure) {

	/**
	 * Measures the quantity at all sizes and formats the results as a row of a Markdown
	 * table.
	 * @return the row
	 */
	String row() {
		double[] x = new double[this.sizes.length];
		double[] y = new double[this.sizes.length];
		StringBuilder points = new StringBuilder();
		for (int i = 0; i < x.length; i++) {
			x[i] = this.sizes[i];
			y[i] = this.measure.applyAsDouble(this.sizes[i]);
			points.append((i > 0) ? ", " : "").append(String.format("%,d: %,.4g", this.sizes[i], y[i]));
		}
		LinearFit fit = LinearFit.of(x, y);
		return String.format("| %s | %s | %s | %s | %.4g | %.4g | %.1f %% | %,d: %,.4g |", this.name, this.unit,
				this.sizeName, points, fit.slope(), fit.intercept(), fit.maxResidualPercent(), this.targetSize,
				fit.at(this.targetSize));
	}

}
