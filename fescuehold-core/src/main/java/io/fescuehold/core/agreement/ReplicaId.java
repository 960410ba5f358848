package io.fescuehold.core.agreement;

import java.util.Objects;

/**
 * Identity of a replica. The store id is generated with the data folder, so a host whose
 * disk was lost returns under another identity.
 *
 * @param hostId the host id
 * @param storeId the id of the data folder
 */
public record ReplicaId(String hostId, String storeId) {

	/**
	 * Checks the arguments.
	 */
	public ReplicaId {
		Objects.requireNonNull(hostId, "hostId");
		Objects.requireNonNull(storeId, "storeId");
	}

	@Override
	public String toString() {
		return this.hostId + "/" + this.storeId;
	}

}
