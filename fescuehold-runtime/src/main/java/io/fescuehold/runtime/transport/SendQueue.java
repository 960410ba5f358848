package io.fescuehold.runtime.transport;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * The bounded queue of messages for one peer. When it is full, the oldest messages
 * without reply make room; requests are never dropped silently. Not thread-safe.
 */
final class SendQueue {

	private final int maxMessages;

	private final long maxBytes;

	private final Deque<Outgoing> messages = new ArrayDeque<>();

	private long bytes;

	/**
	 * Creates a queue.
	 * @param maxMessages the messages kept at most
	 * @param maxBytes the bytes kept at most
	 */
	SendQueue(int maxMessages, long maxBytes) {
		this.maxMessages = maxMessages;
		this.maxBytes = maxBytes;
	}

	/**
	 * Adds a message.
	 * @param message the message
	 * @return the messages that were dropped, which may include the new one
	 */
	List<Outgoing> add(Outgoing message) {
		List<Outgoing> dropped = new ArrayList<>();
		Iterator<Outgoing> oldest = this.messages.iterator();
		while (!fits(message) && oldest.hasNext()) {
			Outgoing candidate = oldest.next();
			if (!candidate.isRequest()) {
				oldest.remove();
				this.bytes -= candidate.body().length;
				dropped.add(candidate);
			}
		}
		if (fits(message)) {
			this.messages.addLast(message);
			this.bytes += message.body().length;
		}
		else {
			dropped.add(message);
		}
		return dropped;
	}

	private boolean fits(Outgoing message) {
		return this.messages.size() < this.maxMessages && this.bytes + message.body().length <= this.maxBytes;
	}

	/**
	 * Removes the first message.
	 * @return the message, or null
	 */
	Outgoing poll() {
		Outgoing first = this.messages.pollFirst();
		if (first != null) {
			this.bytes -= first.body().length;
		}
		return first;
	}

	/**
	 * Removes all messages.
	 * @return the messages
	 */
	List<Outgoing> clear() {
		List<Outgoing> all = new ArrayList<>(this.messages);
		this.messages.clear();
		this.bytes = 0;
		return all;
	}

	boolean isEmpty() {
		return this.messages.isEmpty();
	}

	int size() {
		return this.messages.size();
	}

}
