package io.fescuehold.runtime.transport;

import java.time.Duration;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import io.fescuehold.core.agreement.AgreementMessage;
import io.fescuehold.core.agreement.ReplicaId;
import io.fescuehold.runtime.backend.BackendOptions;
import io.fescuehold.runtime.backend.BackendPool;
import reactor.core.scheduler.Schedulers;

/**
 * Connects to a peer and to a backend server by IP address. Run in a separate process by
 * {@link NameResolutionTests}.
 */
final class NumericPeerProbe {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private NumericPeerProbe() {
	}

	static void main(String[] args) {
		int port = Integer.parseInt(args[0]);
		TcpPeerTransport transport = new TcpPeerTransport(
				new TransportOptions("127.0.0.1", new PeerAddress("127.0.0.1", 0), Map.of()), new MetricRegistry(),
				Schedulers.parallel());
		transport.discoverPeers((hostId) -> new PeerAddress(hostId, port));
		transport.registerGroup(AgreementMessage.class);
		transport.send("127.0.0.2", new AgreementMessage.Probe("g", new ReplicaId("127.0.0.1", "store")));
		String answer = new BackendPool("127.0.0.1", port, BackendOptions.DEFAULT).pooled()
			.get()
			.uri("/")
			.responseContent()
			.aggregate()
			.asString()
			.block(TIMEOUT);
		System.out.println("answer " + answer);
		System.exit(0);
	}

}
