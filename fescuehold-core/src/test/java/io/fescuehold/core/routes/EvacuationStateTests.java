package io.fescuehold.core.routes;

import java.nio.ByteBuffer;
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

	// The log had the last one after the end of the evacuation, which a later order
	// demanded.
	@Test
	void repeatedOrderHasOneOutcomeAndADelayedOneDoesNotUndoALaterOne() {
		assertThat(order(2, BEGIN_A, 0)).isEqualTo(SubmissionOutcome.ACCEPTED);
		assertThat(order(3, BEGIN_A, 0)).isEqualTo(SubmissionOutcome.REPEATED);
		assertThat(order(4, new EvacuationOrder("a", false), 2)).isEqualTo(SubmissionOutcome.ACCEPTED);
		assertThat(order(5, BEGIN_A, 0)).isEqualTo(SubmissionOutcome.CONFLICT);
		assertThat(this.inForce).containsExactly(new Evacuations(2, Set.of("a")), new Evacuations(4, Set.of()));
	}

	// It reads each command as a document and compares its number with the one in force,
	// which is 0 or more.
	@Test
	void earlierVersionFindsAnOrderOvertaken() {
		byte[] command = new EvacuationCommand(BEGIN_A, 0).encode();
		assertThat(command.length).isGreaterThan(HEAD_BYTES);
		assertThat(ByteBuffer.wrap(command).getLong()).isNegative();
		RoutingDocument read = RoutingDocument.decode(command);
		this.state.apply(2, RoutingSamples.document(5, "content").encode());
		assertThat(this.state.outcomeOf(read)).isEqualTo(SubmissionOutcome.OVERTAKEN);
	}

	@Test
	void snapshotIsThatOfAnEarlierVersionWithATrailerAndBothAreRead() {
		RoutingDocument document = RoutingSamples.document(5, "content");
		byte[] earlier = ByteBuffer.allocate(HEAD_BYTES + document.content().length)
			.putLong(document.number())
			.put(document.signature())
			.put(document.content())
			.array();
		this.state.restore(earlier);
		assertThat(this.state.evacuations()).isEqualTo(Evacuations.NONE);
		assertThat(this.state.snapshot()).isEqualTo(earlier);
		order(3, BEGIN_A, 0);
		assertThat(Arrays.copyOf(this.state.snapshot(), earlier.length)).isEqualTo(earlier);
		RoutingState restored = new RoutingState((ignored) -> {
		});
		restored.restore(this.state.snapshot());
		assertThat(restored.current().encode()).isEqualTo(earlier);
		assertThat(restored.evacuations()).isEqualTo(new Evacuations(3, Set.of("a")));
	}

}
