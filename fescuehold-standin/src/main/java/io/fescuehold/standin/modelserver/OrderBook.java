package io.fescuehold.standin.modelserver;

import java.util.ArrayList;
import java.util.List;

/**
 * The orders that a model server carried out, and the highest fencing number seen.
 */
final class OrderBook {

	private final List<Order> orders = new ArrayList<>();

	private final boolean checkFencing;

	private long highestNumber;

	OrderBook(boolean checkFencing) {
		this.checkFencing = checkFencing;
	}

	/**
	 * Carries out an order.
	 * @param kind what is loaded or changed
	 * @param name its name
	 * @param fencingNumber the number of the order
	 * @return whether the order was accepted
	 */
	synchronized boolean carryOut(String kind, String name, long fencingNumber) {
		if (this.checkFencing && fencingNumber < this.highestNumber) {
			return false;
		}
		this.highestNumber = Math.max(this.highestNumber, fencingNumber);
		this.orders.add(new Order(kind, name, fencingNumber));
		return true;
	}

	synchronized long highestNumber() {
		return this.highestNumber;
	}

	synchronized List<Order> orders() {
		return List.copyOf(this.orders);
	}

	/**
	 * An order that was carried out.
	 *
	 * @param kind what is loaded or changed
	 * @param name its name
	 * @param fencingNumber the number of the order
	 */
	record Order(String kind, String name, long fencingNumber) {
	}

}
