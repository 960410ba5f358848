package io.fescuehold.core.servers;

/**
 * A server as this daemon sees it: its entry in the list, the requests that it runs and
 * its health. Used by one thread.
 */
public final class ServerState {

	private final ServerHealth health = new ServerHealth();

	private BackendServer server;

	private int ownRequests;

	private int otherRequests;

	ServerState(BackendServer server) {
		this.server = server;
	}

	void update(BackendServer newer) {
		this.server = newer;
	}

	/**
	 * Returns the entry of the list.
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
	 * Counts a request as done.
	 */
	public void end() {
		this.ownRequests--;
	}

	/**
	 * Returns the requests of this daemon that the server holds.
	 * @return the number
	 */
	public int ownRequests() {
		return this.ownRequests;
	}

	/**
	 * Takes over what the other daemons reported.
	 * @param requests the requests of all other daemons that the server holds
	 */
	public void setOtherRequests(int requests) {
		this.otherRequests = requests;
	}

	/**
	 * Returns the requests that the server holds as far as known.
	 * @return the requests of this daemon and of the others
	 */
	public int load() {
		return this.ownRequests + this.otherRequests;
	}

}
