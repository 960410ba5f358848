package io.fescuehold.runtime.transport;

import io.netty.resolver.NoopAddressResolverGroup;
import io.netty.util.NetUtil;
import reactor.netty.transport.ClientTransport;

/**
 * Disables the name resolver of Reactor Netty for clients whose host is given as an IPv4
 * address. Creating the resolver loads some hundred classes and reads the resolver
 * configuration of the system, which delays the first response.
 */
public final class NameResolution {

	private NameResolution() {
	}

	/**
	 * Returns a client without a name resolver if the host is an IPv4 address. Must be
	 * called before {@code runOn}, which already creates the resolver.
	 * @param client the client
	 * @param host the host name or IP address that the client will connect to
	 * @param <T> the type of the client
	 * @return the client
	 */
	public static <T extends ClientTransport<T, ?>> T unlessNumeric(T client, String host) {
		return NetUtil.isValidIpV4Address(host) ? client.resolver(NoopAddressResolverGroup.INSTANCE) : client;
	}

}
