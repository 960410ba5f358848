package io.fescuehold.runtime.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.fescuehold.runtime.backend.ModelServerClient;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

/**
 * The streams whose callers have left and that are cancelled at their servers unless the
 * callers come back in time.
 */
final class PendingCancels {

	private final Map<String, Disposable> pending = new ConcurrentHashMap<>();

	private final Map<String, Object> owners = new ConcurrentHashMap<>();

	private final Scheduler scheduler;

	PendingCancels(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	/**
	 * Notes that an exchange serves a stream. Only the latest one may cancel it.
	 * @param serverId the server
	 * @param streamId the stream
	 * @param owner the exchange
	 */
	void serving(String serverId, String streamId, Object owner) {
		this.owners.put(key(serverId, streamId), owner);
	}

	/**
	 * Notes that an exchange no longer serves a stream.
	 * @param serverId the server
	 * @param streamId the stream
	 * @param owner the exchange
	 * @return whether the stream has not been taken over in the meantime
	 */
	boolean ended(String serverId, String streamId, Object owner) {
		return this.owners.remove(key(serverId, streamId), owner);
	}

	/**
	 * Cancels a stream at its server.
	 * @param target the server
	 * @param streamId the stream
	 * @param graceMs the time in milliseconds for which the caller may come back
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
	 * Keeps a stream whose caller has come back, through this or another router.
	 * @param serverId the server
	 * @param streamId the stream
	 */
	void taken(String serverId, String streamId) {
		this.owners.remove(key(serverId, streamId));
		Disposable timer = this.pending.remove(key(serverId, streamId));
		if (timer != null) {
			timer.dispose();
		}
	}

	/**
	 * Returns the number of streams that wait.
	 * @return the number
	 */
	int size() {
		return this.pending.size();
	}

	private static String key(String serverId, String streamId) {
		return serverId + ";" + streamId;
	}

}
