package io.fescuehold.daemon.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Changes the members of a share's agreement group. The command returns when the change
 * is complete, that is, when the group tolerates the next loss. Running it again with the
 * same request id continues the same change.
 */
final class ReplicaCommand extends RemoteCommand {

	@Argument(metaVar = "ACTION", usage = "replace, add or remove", required = true)
	private String action;

	@Option(name = "--share", metaVar = "NAME", usage = "the share", required = true)
	private String share;

	@Option(name = "--lost", metaVar = "HOST", usage = "the host to replace or remove")
	private String lostHostId;

	@Option(name = "--with", metaVar = "HOST", usage = "the host to add")
	private String newHostId;

	@Option(name = "--request-id", metaVar = "ID", usage = "id of the change, to continue one that was not answered")
	private String requestId = UUID.randomUUID().toString();

	@Override
	public int run(Console console) {
		Map<String, String> body = new LinkedHashMap<>();
		body.put("requestId", this.requestId);
		body.put("kind", this.action);
		boolean isRemoval = "remove".equals(this.action);
		if ((isRemoval ? this.lostHostId : this.newHostId) == null) {
			console.message("the host is missing; name it with " + (isRemoval ? "--lost" : "--with"));
			return ExitCode.USAGE;
		}
		body.put("hostId", isRemoval ? this.lostHostId : this.newHostId);
		if ("replace".equals(this.action)) {
			body.put("replacedHostId", (this.lostHostId != null) ? this.lostHostId : this.newHostId);
		}
		AdminClient.Reply reply = client().post("/fescuehold/v1/shares/" + this.share + "/replicas", json(body));
		if (!reply.isSuccess()) {
			console.message("not done; run again with --request-id " + this.requestId + " to continue");
		}
		return print(console, reply);
	}

	private static String json(Map<String, String> body) {
		try {
			return new ObjectMapper().writeValueAsString(body);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Failed to serialise the request body as JSON", ex);
		}
	}

}
