package io.fescuehold.standin.modelserver;

import java.util.ArrayList;
import java.util.List;

/**
 * The orders that a model server has executed, and the highest fencing number it has
 * seen.
 */
final class OrderLog {

	private final List<Order> orders = new ArrayList<>();

	private final boolean checkFencing;

	private long highestFencingNumber;

	OrderLog(boolean checkFencing) {
		this.checkFencing = checkFencing;
	}

	/**
	 * Executes an order unless its fencing number is outdated.
	 * @param kind the kind of the order
	 * @param name the name of the model, adapter, version or role
	 * @param fencingNumber the fencing number of the order
	 * @return whether the order was accepted
	 */
	synchronized boolean execute(String kind, String name, long fencingNumber) {
		if (this.checkFencing && fencingNumber < this.highestFencingNumber) {
			return false;
		}
		this.highestFencingNumber = Math.max(this.highestFencingNumber, fencingNumber);
		this.orders.add(new Order(kind, name, fencingNumber));
		return true;
	}

	synchronized long highestFencingNumber() {
		return this.highestFencingNumber;
	}

	synchronized List<Order> orders() {
		return List.copyOf(this.orders);
	}

	/**
	 * An executed order.
	 *
	 * @param kind what is loaded or changed
	 * @param name its name
	 * @param fencingNumber the number of the order
	 */
	record Order(String kind, String name, long fencingNumber) {
	}

}
