package io.fescuehold.runtime.control;

import java.util.List;
import java.util.Map;

import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.state.ShareDelta;

/**
 * Messages that distribute accepted configurations. Field names are short because they
 * are sent every second or two by every daemon.
 */
public sealed interface FeedMessage extends PeerMessage {

	/**
	 * Requests configurations newer than those at the sender (long poll). Answered by
	 * {@link Update} immediately if there are any, otherwise when one arrives or when the
	 * hold time expires.
	 *
	 * @param n the numbers at the sender by share
	 * @param h the hold time in milliseconds
	 * @param r the numbers in force known to the sender, or null if unchanged
	 */
	record Fetch(Map<String, Long> n, int h, List<InForce> r) implements FeedMessage {
	}

	/**
	 * Carries newer configurations.
	 *
	 * @param u one entry per share with a newer configuration, or null if there is none
	 */
	record Update(List<ShareUpdate> u) implements FeedMessage {
	}

	/**
	 * Requests the numbers in force at each daemon. Answered by {@link InForceReport}.
	 */
	record ReadInForce() implements FeedMessage {
	}

	/**
	 * Reports the numbers in force at each daemon.
	 *
	 * @param groups the daemons, grouped by equal numbers
	 */
	record InForceReport(List<InForce> groups) implements FeedMessage {
	}

	/**
	 * A newer configuration of a share.
	 *
	 * @param configJson the canonical JSON, or null if a delta is sent instead
	 * @param delta the delta from the number at the receiver, or null
	 */
	record ShareUpdate(byte[] configJson, ShareDelta delta) {

	}

	/**
	 * Daemons with equal numbers in force.
	 *
	 * @param n the numbers by share
	 * @param a the time in seconds since each daemon reported them, by host id
	 */
	record InForce(Map<String, Long> n, Map<String, Integer> a) {

	}

}
