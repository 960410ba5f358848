package io.fescuehold.core.servers;

/**
 * The state of a server as known to this daemon: its entry in the server list, its
 * outstanding requests, its health and its speed. Confined to one thread.
 */
public final class ServerState {

	/** The time within which the lists of all hosts show a started process. */
	public static final long LIST_DELAY_MS = 3_000;

	/** While a report is younger, it tells more than the samples of the other daemons. */
	static final long FRESH_REPORT_MS = 100;

	private final ServerHealth health = new ServerHealth();

	private ServerSpeed speed = new ServerSpeed();

	private ServerLoadReport report;

	private long reportedMs;

	/** Own requests sent since the report, less those that have ended since. */
	private int ownChange;

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
		this.speed = new ServerSpeed();
		this.report = null;
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
	 * Returns how long work takes at the server.
	 * @return the speed
	 */
	public ServerSpeed speed() {
		return this.speed;
	}

	/**
	 * Records what the server said of its load.
	 * @param report the report
	 * @param endedRequests the requests of this daemon that the report counts and that
	 * have ended
	 * @param nowMs the time in milliseconds
	 */
	public void recordReport(ServerLoadReport report, int endedRequests, long nowMs) {
		this.speed.recordReport(report, nowMs);
		this.report = report;
		this.reportedMs = nowMs;
		this.ownChange = -endedRequests;
	}

	/**
	 * Returns the number of requests that wait at the server.
	 * @param nowMs the time in milliseconds
	 * @return the number by a fresh report, 0 without one
	 */
	public int waiting(long nowMs) {
		return isReportFresh(nowMs) ? this.report.waiting() : 0;
	}

	/**
	 * Returns the number of requests at the server by the freshest source. A fresh report
	 * contains the requests of all daemons, so that nothing is added to it but the
	 * changes of this daemon since.
	 * @param nowMs the time in milliseconds
	 * @return the number
	 */
	public int load(long nowMs) {
		return isReportFresh(nowMs)
				? Math.max(this.ownRequests, this.report.running() + this.report.waiting() + this.ownChange) : load();
	}

	private boolean isReportFresh(long nowMs) {
		return this.report != null && nowMs - this.reportedMs < FRESH_REPORT_MS;
	}

	/**
	 * Counts a request that is sent to the server.
	 */
	public void begin() {
		this.ownRequests++;
		this.ownChange++;
	}

	/**
	 * Counts a request as completed.
	 */
	public void end() {
		this.ownRequests--;
		this.ownChange--;
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
