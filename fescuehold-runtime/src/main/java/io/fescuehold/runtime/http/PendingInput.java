package io.fescuehold.runtime.http;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Takes what the operating system holds for a channel, before the channel is closed.
 */
final class PendingInput {

	private PendingInput() {
	}

	/**
	 * Reads the bytes that have arrived, or accepts the connections that wait. Other
	 * transports than NIO are read at their next turn only. Must be called on the thread
	 * of the channel.
	 * @param channel the channel
	 */
	static void read(Channel channel) {
		if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
			unsafe.read();
		}
	}

}
