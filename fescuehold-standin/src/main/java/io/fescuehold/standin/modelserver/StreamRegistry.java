package io.fescuehold.standin.modelserver;

import java.time.Duration;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;

import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * Registry of the streams that can be resumed. A stream that stays without a connection
 * for the retention period is cancelled and removed.
 */
final class StreamRegistry {

	private final Map<String, Entry> streams = new ConcurrentHashMap<>();

	private final BatchEngine engine;

	private final Duration retention;

	StreamRegistry(BatchEngine engine, Duration retention) {
		this.engine = engine;
		this.retention = retention;
	}

	/**
	 * Registers a stream.
	 * @param generation the stream's request
	 * @return the stream's id
	 */
	String add(Generation generation) {
		String id = UUID.randomUUID().toString();
		this.streams.put(id, new Entry(generation));
		return id;
	}

	/**
	 * Finds a stream.
	 * @param id the stream's id
	 * @return its request, or null
	 */
	Generation find(String id) {
		Entry entry = this.streams.get(id);
		return (entry != null) ? entry.generation : null;
	}

	/**
	 * Records that a connection reads the stream.
	 * @param id the stream's id
	 */
	void attach(String id) {
		this.streams.computeIfPresent(id, (key, entry) -> entry.attach());
	}

	/**
	 * Records that a connection of the stream has ended.
	 * @param id the stream's id
	 */
	void detach(String id) {
		this.streams.computeIfPresent(id,
				(key, entry) -> entry.detach(() -> Mono.delay(this.retention).subscribe((tick) -> cancel(id))));
	}

	/**
	 * Cancels and removes a stream.
	 * @param id the stream's id
	 * @return whether it was known
	 */
	boolean cancel(String id) {
		Entry entry = this.streams.remove(id);
		if (entry == null) {
			return false;
		}
		entry.attach();
		this.engine.cancel(entry.generation);
		return true;
	}

	/**
	 * A stream and the number of its connections.
	 */
	private static final class Entry {

		private final Generation generation;

		private int connections;

		private Disposable expiry;

		Entry(Generation generation) {
			this.generation = generation;
		}

		Entry attach() {
			this.connections++;
			if (this.expiry != null) {
				this.expiry.dispose();
				this.expiry = null;
			}
			return this;
		}

		Entry detach(java.util.function.Supplier<Disposable> startExpiry) {
			this.connections--;
			if (this.connections == 0) {
				this.expiry = startExpiry.get();
			}
			return this;
		}

	}

}
