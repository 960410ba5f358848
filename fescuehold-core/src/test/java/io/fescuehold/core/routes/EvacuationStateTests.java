package io.fescuehold.core.routes;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;

import io.fescuehold.core.evacuation.EvacuationOrder;
import io.fescuehold.core.evacuation.Evacuations;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the evacuations in the replicated state, also beside replicas of a version that
 * does not know them: number (8 bytes), signature (32 bytes) and content.
 */
class EvacuationStateTests {

	private static final int HEAD_BYTES = 40;

	private static final EvacuationOrder BEGIN_A = new EvacuationOrder("a", true);

	private final List<Evacuations> inForce = new ArrayList<>();

	private final RoutingState state = new RoutingState((document) -> {
	}, this.inForce::add);

	private SubmissionOutcome order(long index, EvacuationOrder order, long expectedRevision) {
		return RoutingState.outcome(this.state.apply(index, new EvacuationCommand(order, expectedRevision).encode()));
	}

	@Test
	void repeatedOrderHasOneOutcome() {
		assertThat(order(3, BEGIN_A, 0)).isEqualTo(SubmissionOutcome.ACCEPTED);
		assertThat(order(4, BEGIN_A, 0)).isEqualTo(SubmissionOutcome.REPEATED);
		assertThat(this.inForce).containsExactly(new Evacuations(3, Set.of("a")));
	}

	// The log had it after the end of the evacuation, which a later order demanded.
	@Test
	void orderThatWasDelayedDoesNotUndoALaterOne() {
		order(3, BEGIN_A, 0);
		assertThat(order(4, new EvacuationOrder("a", false), 3)).isEqualTo(SubmissionOutcome.ACCEPTED);
		assertThat(order(5, BEGIN_A, 0)).isEqualTo(SubmissionOutcome.CONFLICT);
		assertThat(this.state.evacuations()).isEqualTo(new Evacuations(4, Set.of()));
	}

	@Test
	void configurationsAndOrdersDoNotAffectEachOther() {
		order(3, BEGIN_A, 0);
		this.state.apply(4, RoutingSamples.document(5, "content").encode());
		order(5, new EvacuationOrder("b", true), 3);
		assertThat(this.state.current().number()).isEqualTo(5);
		assertThat(this.state.evacuations()).isEqualTo(new Evacuations(5, Set.of("a", "b")));
	}

	@Test
	void snapshotRestoresBoth() {
		this.state.apply(2, RoutingSamples.document(5, "content").encode());
		order(3, BEGIN_A, 0);
		RoutingState restored = new RoutingState((document) -> {
		});
		restored.restore(this.state.snapshot());
		assertThat(restored.current().encode()).isEqualTo(this.state.current().encode());
		assertThat(restored.evacuations()).isEqualTo(this.state.evacuations());
	}

	// It reads each command as a document and compares its number with the one in force,
	// which is 0 or more.
	@Test
	void earlierVersionFindsAnOrderOvertaken() {
		byte[] command = new EvacuationCommand(BEGIN_A, 0).encode();
		assertThat(command.length).isGreaterThan(HEAD_BYTES);
		assertThat(ByteBuffer.wrap(command).getLong()).isNegative();
		RoutingDocument read = RoutingDocument.decode(command);
		assertThat(this.state.outcomeOf(read)).isEqualTo(SubmissionOutcome.OVERTAKEN);
		this.state.apply(2, RoutingSamples.document(5, "content").encode());
		assertThat(this.state.outcomeOf(read)).isEqualTo(SubmissionOutcome.OVERTAKEN);
	}

	@Test
	void earlierVersionReadsTheSnapshotAsTheSameConfiguration() {
		RoutingDocument document = RoutingSamples.document(5, "content");
		this.state.apply(2, document.encode());
		byte[] without = this.state.snapshot();
		assertThat(without).isEqualTo(earlierEncoding(document));
		order(3, BEGIN_A, 0);
		byte[] with = this.state.snapshot();
		assertThat(Arrays.copyOf(with, without.length)).isEqualTo(without);
	}

	@Test
	void snapshotOfAnEarlierVersionIsRead() {
		RoutingDocument document = RoutingSamples.document(5, "content");
		this.state.restore(earlierEncoding(document));
		assertThat(this.state.current().content()).isEqualTo("content".getBytes(StandardCharsets.UTF_8));
		assertThat(this.state.evacuations()).isEqualTo(Evacuations.NONE);
	}

	private static byte[] earlierEncoding(RoutingDocument document) {
		return ByteBuffer.allocate(HEAD_BYTES + document.content().length)
			.putLong(document.number())
			.put(document.signature())
			.put(document.content())
			.array();
	}

}
