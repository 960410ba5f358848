package io.fescuehold.runtime.gateway;

import io.fescuehold.core.servers.ServerState;

/**
 * Which servers may send events of a stream.
 */
sealed interface VersionBinding {

	/**
	 * Returns whether a server may send events of the stream.
	 * @param server the server
	 * @param nowMs the time in milliseconds
	 * @return whether it may
	 */
	boolean allows(ServerState server, long nowMs);

	/**
	 * The stream has not begun, so any server may begin it.
	 */
	record Unbound() implements VersionBinding {

		@Override
		public boolean allows(ServerState server, long nowMs) {
			return true;
		}

	}

	/**
	 * The stream began at a software version and continues only there.
	 *
	 * @param version the version
	 */
	record ToVersion(String version) implements VersionBinding {

		@Override
		public boolean allows(ServerState server, long nowMs) {
			return this.version.equals(server.server().versionName()) && server.isVersionCertain(nowMs);
		}

	}

	/**
	 * The stream began at an unknown version, so no other server may continue it.
	 */
	record ToUnknown() implements VersionBinding {

		@Override
		public boolean allows(ServerState server, long nowMs) {
			return false;
		}

	}

}
