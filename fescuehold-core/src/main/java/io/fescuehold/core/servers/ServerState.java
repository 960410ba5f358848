package io.fescuehold.core.servers;

/**
 * The state of a server as known to this daemon: its entry in the server list, its
 * outstanding requests and its health. Confined to one thread.
 */
public final class ServerState {

	/** The time within which the lists of all hosts show a started process. */
	public static final long LIST_DELAY_MS = 3_000;

	private final ServerHealth health = new ServerHealth();

	private BackendServer server;

	private int ownRequests;

	private int otherRequests;

	private long leavingSinceMs = Long.MAX_VALUE;

	private boolean refusedConnections;

	private long versionUncertainUntilMs = Long.MIN_VALUE;

	ServerState(BackendServer server) {
		this.server = server;
	}

	/**
	 * Creates the state of a server that is in no list.
	 * @param server the server
	 * @return the state
	 */
	public static ServerState unlisted(BackendServer server) {
		return new ServerState(server);
	}

	void update(BackendServer updated, long nowMs) {
		this.leavingSinceMs = updated.leaving() ? Math.min(this.leavingSinceMs, nowMs) : Long.MAX_VALUE;
		this.server = updated;
	}

	/**
	 * Returns for how long the server has been about to stop.
	 * @param nowMs the time in milliseconds
	 * @return the time in milliseconds since the list first said so, negative if it does
	 * not
	 */
	public long leavingMs(long nowMs) {
		return (this.leavingSinceMs != Long.MAX_VALUE) ? nowMs - this.leavingSinceMs : -1;
	}

	/**
	 * Records that the server refused a connection, so that its process has ended. The
	 * next one may have the same id and another version.
	 */
	public void connectionRefused() {
		this.refusedConnections = true;
	}

	/**
	 * Records that the server responded.
	 * @param nowMs the time in milliseconds
	 */
	public void responded(long nowMs) {
		if (this.refusedConnections) {
			this.refusedConnections = false;
			this.versionUncertainUntilMs = nowMs + LIST_DELAY_MS;
		}
	}

	/**
	 * Returns whether the list names the version of the process that runs now.
	 * @param nowMs the time in milliseconds
	 * @return whether the process has not restarted since the list was made
	 */
	public boolean isVersionCertain(long nowMs) {
		return !this.refusedConnections && nowMs >= this.versionUncertainUntilMs;
	}

	/**
	 * Returns the entry in the server list.
	 * @return the entry
	 */
	public BackendServer server() {
		return this.server;
	}

	/**
	 * Returns the health.
	 * @return the health
	 */
	public ServerHealth health() {
		return this.health;
	}

	/**
	 * Counts a request that is sent to the server.
	 */
	public void begin() {
		this.ownRequests++;
	}

	/**
	 * Counts a request as completed.
	 */
	public void end() {
		this.ownRequests--;
	}

	/**
	 * Returns the number of requests that this daemon has outstanding at the server.
	 * @return the number
	 */
	public int ownRequests() {
		return this.ownRequests;
	}

	/**
	 * Sets the number of requests that the other daemons have outstanding at the server.
	 * @param requests the number of requests of all other daemons
	 */
	public void setOtherRequests(int requests) {
		this.otherRequests = requests;
	}

	/**
	 * Returns the number of requests known to be outstanding at the server.
	 * @return the requests of this daemon and of the others
	 */
	public int load() {
		return this.ownRequests + this.otherRequests;
	}

}
