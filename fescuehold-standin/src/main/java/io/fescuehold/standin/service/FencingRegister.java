package io.fescuehold.standin.service;

import java.util.HashMap;
import java.util.Map;

/**
 * The highest fencing number seen for each idempotency key.
 */
final class FencingRegister {

	private final Map<String, Long> highestByKey = new HashMap<>();

	/**
	 * Checks a fencing number and stores it if it is the highest.
	 * @param key the idempotency key
	 * @param number the fencing number
	 * @return whether no higher number was seen for the key
	 */
	synchronized boolean admit(String key, long number) {
		return this.highestByKey.merge(key, number, Math::max) == number;
	}

}
