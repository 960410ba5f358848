package io.fescuehold.runtime.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.fescuehold.runtime.backend.ModelServerClient;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

/**
 * Cancels streams at their servers after the callers have disconnected, unless the
 * callers reconnect within a grace period. Also tracks which exchange owns a stream,
 * because only the owner may cancel it.
 */
final class PendingCancels {

	private final Map<String, Disposable> pending = new ConcurrentHashMap<>();

	private final Map<String, Object> owners = new ConcurrentHashMap<>();

	private final Scheduler scheduler;

	PendingCancels(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	/**
	 * Makes an exchange the owner of a stream, in place of any earlier owner.
	 * @param serverId the id of the server
	 * @param streamId the id of the stream
	 * @param owner the exchange that serves the stream
	 */
	void registerOwner(String serverId, String streamId, Object owner) {
		this.owners.put(key(serverId, streamId), owner);
	}

	/**
	 * Ends the ownership of a stream.
	 * @param serverId the id of the server
	 * @param streamId the id of the stream
	 * @param owner the exchange that no longer serves the stream
	 * @return whether the exchange still owned the stream
	 */
	boolean removeOwner(String serverId, String streamId, Object owner) {
		return this.owners.remove(key(serverId, streamId), owner);
	}

	/**
	 * Cancels a stream at its server after a grace period.
	 * @param target the server
	 * @param streamId the id of the stream
	 * @param graceMs the time in milliseconds within which the caller may reconnect, 0 to
	 * cancel at once
	 */
	void cancel(ModelPlacement.Target target, String streamId, int graceMs) {
		if (graceMs == 0) {
			ModelServerClient.cancel(target.pool(), streamId).subscribe();
			return;
		}
		String key = key(target.serverId(), streamId);
		Disposable.Swap timer = Disposables.swap();
		this.pending.put(key, timer);
		timer.update(this.scheduler.schedule(() -> {
			if (this.pending.remove(key, timer)) {
				ModelServerClient.cancel(target.pool(), streamId).subscribe();
			}
		}, graceMs, TimeUnit.MILLISECONDS));
	}

	/**
	 * Keeps a stream whose caller has reconnected, through this or another router. The
	 * pending cancellation and the ownership are removed.
	 * @param serverId the id of the server
	 * @param streamId the id of the stream
	 */
	void keepStream(String serverId, String streamId) {
		this.owners.remove(key(serverId, streamId));
		Disposable timer = this.pending.remove(key(serverId, streamId));
		if (timer != null) {
			timer.dispose();
		}
	}

	/**
	 * Returns the number of pending cancellations.
	 * @return the number
	 */
	int size() {
		return this.pending.size();
	}

	private static String key(String serverId, String streamId) {
		return serverId + ";" + streamId;
	}

}
