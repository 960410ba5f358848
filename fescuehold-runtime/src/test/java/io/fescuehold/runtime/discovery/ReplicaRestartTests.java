package io.fescuehold.runtime.discovery;

import java.nio.file.Path;
import java.util.List;

import io.fescuehold.core.agreement.AgreementMessage;
import io.fescuehold.core.agreement.EntryKind;
import io.fescuehold.core.agreement.LogEntry;
import io.fescuehold.core.agreement.ReplicaId;
import io.fescuehold.core.routes.SubmissionOutcome;
import io.fescuehold.runtime.replica.ReplicaStatus;
import io.fescuehold.runtime.transport.TcpPeerTransport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a group without a leader after replicas stopped on errors one after the
 * other while their processes went on.
 */
class ReplicaRestartTests {

	/** A host without a daemon, which sends messages that the replicas cannot handle. */
	private static final int SENDER = 9;

	private static final long HIGH_TERM = 1_000;

	@TempDir
	private Path folder;

	@Test
	void groupHasALeaderAfterTwoReplicasStoppedInSeries() {
		try (TestFleet fleet = new TestFleet(this.folder, 3, 0)) {
			TestFleet.await("a leader", () -> fleet.leader() != 0);
			assertThat(fleet.submit(1, TestFleet.document(1, "a"))).isEqualTo(SubmissionOutcome.ACCEPTED);
			fleet.awaitInForce(1);
			int leader = fleet.leader();
			int follower = 1 + leader % 3;
			TcpPeerTransport sender = fleet.transport(SENDER);
			sender.start().block(TestFleet.LIMIT);
			failReplica(sender, fleet.host(follower));
			failReplica(sender, fleet.host(leader));
			sender.close();
			assertThat(fleet.submit(1 + follower % 3, TestFleet.document(2, "b")))
				.isEqualTo(SubmissionOutcome.ACCEPTED);
			fleet.awaitInForce(2);
		}
	}

	// Overwriting a committed entry is refused with an exception.
	private static void failReplica(TcpPeerTransport sender, TestFleet.Host host) {
		ReplicaStatus status = (ReplicaStatus) host.replica();
		ReplicaId from = new ReplicaId(TestFleet.hostId(SENDER), "store");
		LogEntry entry = new LogEntry(1, HIGH_TERM, EntryKind.COMMAND, new byte[0]);
		sender.send(status.hostId(), new AgreementMessage.AppendRequest(RoutingReplica.GROUP, from,
				new ReplicaId(status.hostId(), status.storeId()), HIGH_TERM, 0, 0, List.of(entry), 0, 0));
		TestFleet.await("failure of " + status.hostId(), () -> host.count("agreement.routes.failures") > 0
				|| ((ReplicaStatus) host.replica()).failure() != null);
	}

}
