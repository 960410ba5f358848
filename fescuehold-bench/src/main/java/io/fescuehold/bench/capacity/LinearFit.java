package io.fescuehold.bench.capacity;

/**
 * A straight line fitted to measured points by least squares.
 *
 * @param slope the increase of the value per unit of size
 * @param intercept the value at zero
 * @param maxResidualPercent the largest residual of a point, in percent of its value
 */
public record LinearFit(double slope, double intercept, double maxResidualPercent) {

	private static final double PERCENT = 100;

	/**
	 * Fits a line.
	 * @param x the sizes
	 * @param y the values
	 * @return the line
	 */
	public static LinearFit of(double[] x, double[] y) {
		double meanX = mean(x);
		double meanY = mean(y);
		double covariance = 0;
		double variance = 0;
		for (int i = 0; i < x.length; i++) {
			covariance += (x[i] - meanX) * (y[i] - meanY);
			variance += (x[i] - meanX) * (x[i] - meanX);
		}
		double slope = covariance / variance;
		double intercept = meanY - slope * meanX;
		double maxPercent = 0;
		for (int i = 0; i < x.length; i++) {
			double residual = Math.abs(slope * x[i] + intercept - y[i]);
			maxPercent = Math.max(maxPercent, PERCENT * residual / Math.max(Math.abs(y[i]), Double.MIN_NORMAL));
		}
		return new LinearFit(slope, intercept, maxPercent);
	}

	/**
	 * Returns the fitted value at a size.
	 * @param x the size
	 * @return the value
	 */
	public double at(double x) {
		return this.slope * x + this.intercept;
	}

	private static double mean(double[] values) {
		double sum = 0;
		for (double value : values) {
			sum += value;
		}
		return sum / values.length;
	}

}
