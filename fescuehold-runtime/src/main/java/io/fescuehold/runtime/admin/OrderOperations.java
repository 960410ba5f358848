package io.fescuehold.runtime.admin;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.runtime.orders.OrderDispatcher;
import io.fescuehold.runtime.orders.ServerOrder;
import reactor.core.publisher.Mono;

/**
 * The operation of the administration API that sends orders to model servers.
 */
final class OrderOperations {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final OrderDispatcher dispatcher;

	OrderOperations(OrderDispatcher dispatcher) {
		this.dispatcher = dispatcher;
	}

	Mono<AdminAnswer> send(String share, byte[] body) {
		return Mono.fromSupplier(() -> readOrder(body))
			.flatMap((order) -> this.dispatcher.send(share, order))
			.map((result) -> AdminAnswer.json(AdminAnswer.OK, result));
	}

	private static ServerOrder readOrder(byte[] body) {
		try {
			JsonNode tree = MAPPER.readTree(body);
			return new ServerOrder(tree.path("serverId").textValue(), tree.path("kind").textValue(),
					tree.path("name").textValue());
		}
		catch (IOException ex) {
			throw new FescueholdException(ErrorCode.BAD_REQUEST, "The body", "it is not JSON", "correct the syntax");
		}
	}

}
