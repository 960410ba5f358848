package io.fescuehold.runtime.http;

import java.util.Map;
import java.util.TreeMap;

/**
 * State of the connections of a server.
 *
 * @param closed the number of closed connections by the way in which they ended
 * @param open the number of open connections
 * @param unanswered the number of open connections with a request that was read and has
 * no complete response
 * @param incomplete the number of open connections with a request that was not read
 * completely
 * @param unsentBytes the bytes of responses that the process holds
 */
public record ConnectionReport(Map<ConnectionEnd, Long> closed, int open, int unanswered, int incomplete,
		long unsentBytes) {

	public ConnectionReport {
		closed = Map.copyOf(closed);
	}

	/**
	 * Returns the connections that this process closed although a request on them had
	 * been read and had no complete response.
	 * @return the number
	 */
	public long faults() {
		return this.closed.get(ConnectionEnd.UNANSWERED) + this.closed.get(ConnectionEnd.CUT);
	}

	@Override
	public String toString() {
		return "connections closed: " + new TreeMap<>(this.closed) + "; open: " + this.open + ", of which "
				+ this.unanswered + " with a request unanswered, " + this.incomplete + " with a request incomplete; "
				+ this.unsentBytes + " bytes unsent";
	}

}
