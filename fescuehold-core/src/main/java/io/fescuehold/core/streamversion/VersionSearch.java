package io.fescuehold.core.streamversion;

import java.util.Set;
import java.util.TreeSet;

/**
 * Decides from the answers of other hosts which version began a stream. A record decides.
 * Without one the version follows only if a single version can have begun the stream. A
 * host that sees several versions lets a majority of the holders of a stream know its
 * version before the first event, so that a majority without a record and with the same
 * single version proves that no other version is involved. So does a list of servers that
 * was asked for after the search began, because the stream had begun before.
 */
public final class VersionSearch {

	private final int askedHosts;

	private final Set<String> served;

	private boolean complete;

	private boolean listConfirmed;

	private int answers;

	private StreamRecord record;

	/**
	 * Creates a search without answers.
	 * @param askedHosts the number of hosts that were asked
	 * @param served the versions of the service that this host has observed
	 * @param complete whether these are all that served within the retention
	 */
	public VersionSearch(int askedHosts, Set<String> served, boolean complete) {
		this.askedHosts = askedHosts;
		this.served = new TreeSet<>(served);
		this.complete = complete;
	}

	/**
	 * Adds the answer of a host.
	 * @param found its record of the stream, or null
	 * @param otherServed the versions of the service that it has observed
	 * @param otherComplete whether these are all that served within the retention
	 * @return this search
	 */
	public VersionSearch add(StreamRecord found, Set<String> otherServed, boolean otherComplete) {
		this.answers++;
		this.record = (found != null) ? found : this.record;
		this.served.addAll(otherServed);
		this.complete |= otherComplete;
		return this;
	}

	/**
	 * Records that this host has asked for its list of servers after the search began,
	 * and has it.
	 * @param listed the versions of the service that this host has observed by now
	 * @return this search
	 */
	public VersionSearch confirmList(Set<String> listed) {
		this.served.addAll(listed);
		this.listConfirmed = true;
		return this;
	}

	/**
	 * Decides as far as the answers allow.
	 * @param last whether no further answer will come
	 * @return the verdict, open only if further answers may come
	 */
	public VersionVerdict verdict(boolean last) {
		if (this.record != null) {
			return new VersionVerdict.Recorded(this.record);
		}
		boolean all = last || this.answers >= this.askedHosts;
		boolean majority = this.answers > this.askedHosts / 2;
		if (this.served.size() == 1 && this.complete && (majority || (all && this.listConfirmed))) {
			return new VersionVerdict.OnlyVersion(this.served.iterator().next());
		}
		if (!all) {
			return new VersionVerdict.Open();
		}
		return new VersionVerdict.Unknown(this.answers + " of " + this.askedHosts + " hosts answered without a record, "
				+ "versions " + this.served + (this.complete ? "" : " and possibly others") + " can have begun it");
	}

}
