package io.fescuehold.standin.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;

/**
 * Closes a connection so that the other side sees a reset.
 */
public final class ChannelReset {

	private ChannelReset() {
	}

	/**
	 * Resets a connection; does nothing if it is closed.
	 * @param channel the connection
	 */
	public static void reset(Channel channel) {
		try {
			channel.config().setOption(ChannelOption.SO_LINGER, 0);
		}
		catch (ChannelException ex) {
			// The connection was closed by the other side meanwhile.
		}
		channel.close();
	}

}
