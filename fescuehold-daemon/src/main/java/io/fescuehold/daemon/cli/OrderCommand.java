package io.fescuehold.daemon.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.kohsuke.args4j.Option;

/**
 * Sends an order to a model server. Orders are idempotent, so the command can safely be
 * repeated.
 */
final class OrderCommand extends RemoteCommand {

	@Option(name = "--share", metaVar = "NAME", usage = "the share that owns the server", required = true)
	private String share;

	@Option(name = "--id", metaVar = "ID", usage = "the model server", required = true)
	private String serverId;

	@Option(name = "--kind", metaVar = "KIND", usage = "loadModel, loadAdapter, loadVersion or changeRole",
			required = true)
	private String kind;

	@Option(name = "--name", metaVar = "NAME", usage = "the model, adapter, version or role", required = true)
	private String name;

	@Override
	public int run(Console console) {
		String body = new ObjectMapper().createObjectNode()
			.put("serverId", this.serverId)
			.put("kind", this.kind)
			.put("name", this.name)
			.toString();
		return print(console, client().post("/fescuehold/v1/shares/" + this.share + "/orders", body));
	}

}
