package io.fescuehold.runtime.transport;

import io.fescuehold.core.port.PeerMessage;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a queue that grows without bound or drops requests silently.
 */
class SendQueueTests {

	private final SendQueue queue = new SendQueue(3, 100);

	@Test
	void oldestMessagesWithoutReplyAreDropped() {
		OutgoingMessage first = message(10);
		this.queue.add(first);
		this.queue.add(message(10));
		this.queue.add(message(10));
		assertThat(this.queue.add(message(10))).containsExactly(first);
		assertThat(this.queue.size()).isEqualTo(3);
	}

	@Test
	void requestsAreNotDroppedForLaterMessages() {
		OutgoingMessage request = request(60);
		OutgoingMessage message = message(30);
		this.queue.add(request);
		this.queue.add(message);
		OutgoingMessage late = message(50);
		assertThat(this.queue.add(late)).containsExactly(message, late);
		assertThat(this.queue.poll()).isSameAs(request);
		assertThat(this.queue.add(message(100))).isEmpty();
	}

	private static OutgoingMessage message(int bytes) {
		return new OutgoingMessage(0, new byte[bytes], "test", null);
	}

	private static OutgoingMessage request(int bytes) {
		MonoSink<?>[] sink = new MonoSink<?>[1];
		Mono.<PeerMessage>create((created) -> sink[0] = created).subscribe();
		@SuppressWarnings("unchecked")
		MonoSink<PeerMessage> replies = (MonoSink<PeerMessage>) sink[0];
		return new OutgoingMessage(1, new byte[bytes], "test", replies);
	}

}
