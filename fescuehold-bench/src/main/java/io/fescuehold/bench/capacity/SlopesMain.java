package io.fescuehold.bench.capacity;

import java.util.ArrayList;
import java.util.List;

/**
 * Measures how all quantities grow and prints the results as a Markdown table.
 */
public final class SlopesMain {

	private SlopesMain() {
	}

	/**
	 * Runs the measurements.
	 * @param args not used
	 */
	public static void main(String[] args) {
		System.out.println("| quantity | unit | grows with | measured | slope | at zero | residual | at target size |");
		System.out.println("|---|---|---|---|---|---|---|---|");
		List<Slope> slopes = new ArrayList<>(RouterSlopes.all());
		slopes.addAll(ReplicaSlopes.all());
		slopes.forEach((slope) -> System.out.println(slope.row()));
	}

}
