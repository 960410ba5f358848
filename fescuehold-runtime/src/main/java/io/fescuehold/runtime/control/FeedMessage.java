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
	 * Asks for configurations newer than those at the sender. Answered by {@link Update}
	 * at once if there are any, otherwise as soon as there are or when the hold time
	 * ends.
	 *
	 * @param n the numbers at the sender by share
	 * @param h the hold time in milliseconds
	 * @param r what the sender knows of numbers in force, or null if unchanged
	 */
	record Fetch(Map<String, Long> n, int h, List<InForce> r) implements FeedMessage {
	}

	/**
	 * Carries newer configurations.
	 *
	 * @param u one entry per share with news, or null if there are none
	 */
	record Update(List<ShareUpdate> u) implements FeedMessage {
	}

	/**
	 * Asks which numbers are in force where. Answered by {@link InForceReport}.
	 */
	record ReadInForce() implements FeedMessage {
	}

	/**
	 * Tells which numbers are in force where.
	 *
	 * @param groups the daemons, grouped by equal numbers
	 */
	record InForceReport(List<InForce> groups) implements FeedMessage {
	}

	/**
	 * A newer configuration of a share.
	 *
	 * @param configJson the canonical JSON, or null if a difference is carried
	 * @param delta the difference from the number at the receiver, or null
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
