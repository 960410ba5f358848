package io.fescuehold.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests that a stream is split into whole events and that its bytes are not changed.
 */
class EventSplitterTests {

	private static final String STREAM = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\n: comment\n\n"
			+ "weights: 4\nid: 30\ndata: ü\n\n";

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void anySplitOfTheBytesGivesTheSameEvents(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
		EventSplitter splitter = new EventSplitter(1_000);
		List<StreamEvent> events = new ArrayList<>();
		for (int start = 0; start < bytes.length;) {
			int end = Math.min(bytes.length, start + 1 + random.nextInt(7));
			events.addAll(splitter.append(Arrays.copyOfRange(bytes, start, end)));
			start = end;
		}
		assertThat(events).extracting(StreamEvent::position).containsExactly(1L, 2L, 0L, 0L, 30L);
		ByteArrayOutputStream joined = new ByteArrayOutputStream();
		events.forEach((event) -> joined.writeBytes(event.bytes()));
		assertThat(joined.toByteArray()).isEqualTo(bytes);
		assertThat(splitter.isInsideEvent()).isFalse();
	}

	@Test
	void incompleteEventIsNotReturned() {
		EventSplitter splitter = new EventSplitter(1_000);
		List<StreamEvent> events = splitter.append("id: 1\ndata: a\n\nid: 2\nda".getBytes(StandardCharsets.UTF_8));
		assertThat(events).hasSize(1);
		assertThat(splitter.isInsideEvent()).isTrue();
	}

	@Test
	void malformedEventsAreRejected() {
		EventSplitter splitter = new EventSplitter(20);
		assertThatIllegalArgumentException().isThrownBy(() -> splitter.append(new byte[21]));
		assertThatIllegalArgumentException()
			.isThrownBy(() -> new EventSplitter(100).append("id: x\n\n".getBytes(StandardCharsets.UTF_8)));
	}

}
