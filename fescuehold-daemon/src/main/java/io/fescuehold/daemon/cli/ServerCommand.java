package io.fescuehold.daemon.cli;

import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ServerState;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.config.ShareConfigBuilder;
import org.kohsuke.args4j.Option;

/**
 * Declares the state of one backend server: reads the configuration in force, changes the
 * state and submits it under the next number. Retries if another operator submitted that
 * number first.
 */
final class ServerCommand extends RemoteCommand {

	private static final int MAX_ATTEMPTS = 5;

	private static final int CONFLICT = 409;

	@Option(name = "--share", metaVar = "NAME", usage = "the share that owns the server", required = true)
	private String share;

	@Option(name = "--id", metaVar = "ID", usage = "the id of the backend server", required = true)
	private String serverId;

	@Option(name = "--state", metaVar = "STATE", usage = "joining, active or leaving", required = true)
	private ServerState state;

	@Override
	public int run(Console console) {
		AdminClient client = client();
		AdminClient.Reply reply = trySubmit(client);
		for (int attempt = 1; attempt < MAX_ATTEMPTS && reply.status() == CONFLICT; attempt++) {
			reply = trySubmit(client);
		}
		return print(console, reply);
	}

	private AdminClient.Reply trySubmit(AdminClient client) {
		AdminClient.Reply current = client.get("/fescuehold/v1/shares/" + this.share);
		if (!current.isSuccess()) {
			return current;
		}
		ShareConfig config = ConfigJson.read(current.body());
		ShareConfig next = ShareConfigBuilder.next(config).state(this.serverId, this.state).build();
		return client.post("/fescuehold/v1/shares/" + this.share + "/submit", ConfigJson.print(next));
	}

}
