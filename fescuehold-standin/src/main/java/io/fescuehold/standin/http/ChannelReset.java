package io.fescuehold.standin.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;

/**
 * Closes a connection with a TCP reset.
 */
public final class ChannelReset {

	private ChannelReset() {
	}

	/**
	 * Resets a connection; has no effect if it is closed.
	 * @param channel the connection
	 */
	public static void reset(Channel channel) {
		try {
			channel.config().setOption(ChannelOption.SO_LINGER, 0);
		}
		catch (ChannelException ex) {
			// The peer has closed the connection in the meantime.
		}
		channel.close();
	}

}
