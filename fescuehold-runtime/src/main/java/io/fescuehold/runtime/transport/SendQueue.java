package io.fescuehold.runtime.transport;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * The bounded send queue of one peer. When it is full, the oldest messages without reply
 * are dropped; a queued request is never dropped for a later message. Not thread-safe.
 */
final class SendQueue {

	private final int maxMessages;

	private final long maxBytes;

	private final Deque<OutgoingMessage> messages = new ArrayDeque<>();

	private long bytes;

	/**
	 * Creates a queue.
	 * @param maxMessages the maximum number of messages
	 * @param maxBytes the maximum total size of the message bodies in bytes
	 */
	SendQueue(int maxMessages, long maxBytes) {
		this.maxMessages = maxMessages;
		this.maxBytes = maxBytes;
	}

	/**
	 * Adds a message.
	 * @param message the message
	 * @return the dropped messages, which include the new one if it does not fit
	 */
	List<OutgoingMessage> add(OutgoingMessage message) {
		List<OutgoingMessage> dropped = new ArrayList<>();
		Iterator<OutgoingMessage> queued = this.messages.iterator();
		while (!fits(message) && queued.hasNext()) {
			OutgoingMessage candidate = queued.next();
			if (!candidate.isRequest()) {
				queued.remove();
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

	private boolean fits(OutgoingMessage message) {
		return this.messages.size() < this.maxMessages && this.bytes + message.body().length <= this.maxBytes;
	}

	/**
	 * Removes the first message.
	 * @return the message, or null if the queue is empty
	 */
	OutgoingMessage poll() {
		OutgoingMessage first = this.messages.pollFirst();
		if (first != null) {
			this.bytes -= first.body().length;
		}
		return first;
	}

	/**
	 * Removes all messages.
	 * @return the messages
	 */
	List<OutgoingMessage> clear() {
		List<OutgoingMessage> all = new ArrayList<>(this.messages);
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
