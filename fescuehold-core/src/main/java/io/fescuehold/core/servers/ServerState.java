package io.fescuehold.core.servers;

/**
 * The state of a server as known to this daemon: its entry in the server list, its
 * outstanding requests and its health. Confined to one thread.
 */
public final class ServerState {

	private final ServerHealth health = new ServerHealth();

	private BackendServer server;

	private int ownRequests;

	private int otherRequests;

	ServerState(BackendServer server) {
		this.server = server;
	}

	void update(BackendServer updated) {
		this.server = updated;
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
