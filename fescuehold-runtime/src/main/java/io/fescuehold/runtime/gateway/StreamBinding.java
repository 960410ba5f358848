package io.fescuehold.runtime.gateway;

/**
 * The binding of one stream to the software version that began it, which does not change
 * once it is known.
 */
final class StreamBinding {

	private VersionBinding current = new VersionBinding.Unbound();

	/** The version of the server behind the host that passes the request on, or null. */
	private String relayedVersion;

	VersionBinding current() {
		return this.current;
	}

	/**
	 * Returns whether the version of the stream has been determined.
	 * @return whether the stream is bound, even if to an unknown version
	 */
	boolean isBound() {
		return !(this.current instanceof VersionBinding.Unbound);
	}

	/**
	 * Returns the version that began the stream.
	 * @return the version, or null if it is unknown
	 */
	String version() {
		return (this.current instanceof VersionBinding.ToVersion(String version)) ? version : null;
	}

	/**
	 * Binds the stream.
	 * @param version the version that began it, or null to leave it unbound
	 */
	void toVersion(String version) {
		if (version != null) {
			this.current = new VersionBinding.ToVersion(version);
		}
	}

	/**
	 * Records the version that a host which passes the request on names.
	 * @param version the version of the server, or null if the host does not know it
	 */
	void setRelayedVersion(String version) {
		this.relayedVersion = version;
	}

	/**
	 * Binds the stream to the server that sends the first event, unless it has been bound
	 * before.
	 * @param dispatcher knows the versions of the servers
	 * @param request the request
	 * @param target the server, or the host that passes the request on
	 */
	void toServer(Dispatcher dispatcher, GatewayRequest request, Dispatcher.Target target) {
		if (isBound()) {
			return;
		}
		if (!target.relay()) {
			this.current = dispatcher.bindingTo(request, target);
		}
		else {
			this.current = (this.relayedVersion != null) ? new VersionBinding.ToVersion(this.relayedVersion)
					: new VersionBinding.ToUnknown();
		}
	}

}
