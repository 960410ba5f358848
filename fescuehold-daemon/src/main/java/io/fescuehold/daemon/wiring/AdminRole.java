package io.fescuehold.daemon.wiring;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;

import com.codahale.metrics.MetricRegistry;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.daemon.settings.DaemonSettings;
import io.fescuehold.daemon.settings.OperatorSettings;
import io.fescuehold.daemon.settings.ShareSettings;
import io.fescuehold.daemon.settings.TlsSettings;
import io.fescuehold.daemon.settings.TokenSettings;
import io.fescuehold.runtime.admin.AdminOptions;
import io.fescuehold.runtime.admin.AdminServer;
import io.fescuehold.runtime.admin.AdminToken;
import io.fescuehold.runtime.control.ConfigFeed;
import io.fescuehold.runtime.control.SharedStateClient;
import io.fescuehold.runtime.http.ConnectionReport;
import io.fescuehold.runtime.orders.OrderDispatcher;
import reactor.core.publisher.Mono;

/**
 * The server of the administration API, which runs in every daemon.
 */
final class AdminRole {

	private static final Duration START_TIMEOUT = Duration.ofSeconds(10);

	private final AdminServer server;

	/**
	 * Creates the server.
	 * @param settings the settings
	 * @param state the client of the share leaders
	 * @param feed the configurations in force
	 * @param metrics the registry of the metrics
	 * @param dumps the sections of the state dump
	 * @param drain starts the drain of this daemon
	 * @param orders sends orders to model servers
	 */
	AdminRole(DaemonSettings settings, SharedStateClient state, ConfigFeed feed, MetricRegistry metrics,
			List<StateDump> dumps, Runnable drain, OrderDispatcher orders) {
		List<String> shares = settings.shares().stream().map(ShareSettings::share).toList();
		this.server = new AdminServer(options(settings.operators()), state, feed, () -> shares, () -> dumps, metrics,
				drain, orders);
	}

	private static AdminOptions options(OperatorSettings operators) {
		return new AdminOptions(operators.address(), operators.port(), tls(operators.tls()),
				operators.tokens().stream().map(AdminRole::token).toList(), AdminOptions.Limits.DEFAULT);
	}

	private static AdminOptions.Tls tls(TlsSettings tls) {
		return (tls != null) ? new AdminOptions.Tls(Path.of(tls.certificateFile()), Path.of(tls.keyFile())) : null;
	}

	private static AdminToken token(TokenSettings token) {
		return new AdminToken(token.name(), token.sha256(), token.share(),
				AdminToken.Role.valueOf(token.role().toUpperCase(Locale.ROOT)));
	}

	/**
	 * Starts accepting requests.
	 */
	void start() {
		this.server.start().block(START_TIMEOUT);
	}

	/**
	 * Closes each connection after its next response.
	 */
	void closeConnections() {
		this.server.closeConnections();
	}

	/**
	 * Stops listening and answers what was read.
	 * @return completes once no connection is open, or when the longest limit of a
	 * request has passed
	 */
	Mono<Void> drain() {
		return this.server.drain();
	}

	/**
	 * Returns the state of the operators' connections.
	 * @return the state
	 */
	ConnectionReport connections() {
		return this.server.connections();
	}

	/**
	 * Stops accepting requests and closes all connections.
	 */
	void stop() {
		this.server.close();
	}

}
