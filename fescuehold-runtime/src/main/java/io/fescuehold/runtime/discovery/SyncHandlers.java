package io.fescuehold.runtime.discovery;

import java.util.function.Function;

import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.routes.EvacuationCommand;
import io.fescuehold.core.routes.RoutingDocument;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Registers the handlers of messages of the other daemons, which run on the thread that
 * owns the state of this daemon.
 *
 * @param transport the connections to the other daemons
 * @param scheduler the thread that owns the state
 */
record SyncHandlers(PeerTransport transport, Scheduler scheduler) {

	/**
	 * Registers a handler.
	 * @param <T> the type of the messages
	 * @param type the type of the messages
	 * @param handler returns the reply, empty if there is none
	 */
	<T extends SyncMessage> void on(Class<T> type, Function<T, Mono<? extends PeerMessage>> handler) {
		this.transport.onMessage(type,
				(from, message) -> Mono.<PeerMessage>defer(() -> handler.apply(message).cast(PeerMessage.class))
					.subscribeOn(this.scheduler));
	}

	/**
	 * Registers the handlers of what only a replica can do.
	 * @param hub answers on the leader
	 * @param replica the replica of this host, or null
	 */
	void onCallsToReplica(FleetHub hub, RoutingReplica replica) {
		on(SyncMessage.Submit.class, (submit) -> hub.submit(RoutingDocument.decode(submit.document()))
			.map((outcome) -> new SyncMessage.Submitted(outcome.name())));
		on(SyncMessage.Evacuate.class,
				(evacuate) -> hub.evacuate(EvacuationCommand.of(RoutingDocument.decode(evacuate.command()))));
		on(SyncMessage.ReadNewest.class, (read) -> hub.readNewest().map(SyncMessage.Newest::new));
		on(SyncMessage.Form.class, (form) -> {
			if (replica != null) {
				replica.formGroup(form.hostIds());
			}
			return Mono.empty();
		});
	}

}
