package io.fescuehold.runtime.http;

import java.lang.management.ManagementFactory;

import com.sun.management.ThreadMXBean;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against bodies that cost far more memory than the bytes that are counted for
 * them.
 */
class BodyBufferTests {

	private static final int BODY_BYTES = 1 << 20;

	/** What a body may cost while it is collected and joined, per byte. */
	private static final int MAX_COST = 4;

	// A body in chunks of one byte was kept in an array for each, which costs more than
	// twenty times what was counted.
	@Test
	void bodyInSmallPartsCostsNoMoreThanOneInLargeParts() {
		ByteBudget budget = new ByteBudget(2 * MAX_COST * BODY_BYTES);
		ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
		ByteBuf part = Unpooled.wrappedBuffer(new byte[] { 'x' });
		long allocatedBefore = threads.getCurrentThreadAllocatedBytes();
		BodyBuffer buffer = new BodyBuffer(budget.lease());
		for (int count = 0; count < BODY_BYTES; count++) {
			buffer.tryAppend(part.readerIndex(0));
		}
		long heldBytes = budget.heldBytes();
		byte[] body = buffer.toBytes();
		long allocatedBytes = threads.getCurrentThreadAllocatedBytes() - allocatedBefore;
		assertThat(body).hasSize(BODY_BYTES).containsOnly('x');
		assertThat(allocatedBytes).isLessThan((long) MAX_COST * BODY_BYTES);
		assertThat(heldBytes).isBetween((long) BODY_BYTES, 2L * BODY_BYTES);
	}

	@Test
	void bytesOfADiscardedBodyAreReturned() {
		ByteBudget budget = new ByteBudget(BODY_BYTES);
		BodyBuffer buffer = new BodyBuffer(budget.lease());
		assertThat(buffer.tryAppend(Unpooled.wrappedBuffer(new byte[BODY_BYTES / 2]))).isTrue();
		assertThat(buffer.tryAppend(Unpooled.wrappedBuffer(new byte[BODY_BYTES / 2]))).isFalse();
		assertThat(budget.heldBytes()).isZero();
		assertThat(buffer.tryAppend(Unpooled.wrappedBuffer(new byte[1]))).isFalse();
		assertThat(buffer.toBytes()).isNull();
	}

}
