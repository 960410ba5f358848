package io.fescuehold.standin.proxy;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A connection through the proxy: two sockets and one pipe for each direction.
 */
final class ProxyConnection {

	private final Socket client;

	private final Socket server;

	private final Pipe toServer;

	private final Pipe toClient;

	private final Consumer<ProxyConnection> onClosed;

	private final AtomicInteger openPipes = new AtomicInteger(2);

	private final AtomicBoolean closed = new AtomicBoolean();

	ProxyConnection(Socket client, Socket server, Supplier<ProxyFault> fault, Consumer<ProxyConnection> onClosed) {
		this.client = client;
		this.server = server;
		this.onClosed = onClosed;
		this.toServer = new Pipe(Direction.TO_SERVER, client, server, fault, this);
		this.toClient = new Pipe(Direction.TO_CLIENT, server, client, fault, this);
	}

	void start() {
		this.toServer.start();
		this.toClient.start();
	}

	void silencePermanently() {
		this.toServer.silencePermanently();
		this.toClient.silencePermanently();
	}

	void faultChanged() {
		this.toServer.faultChanged();
		this.toClient.faultChanged();
	}

	/** Records that one direction has ended normally; the other one may continue. */
	void pipeEnded() {
		if (this.openPipes.decrementAndGet() == 0) {
			close();
		}
	}

	/** Resets both sockets. */
	void close() {
		if (this.closed.compareAndSet(false, true)) {
			reset(this.client);
			reset(this.server);
			faultChanged();
			this.onClosed.accept(this);
		}
	}

	boolean closed() {
		return this.closed.get();
	}

	/**
	 * Closes a socket with a TCP reset.
	 * @param socket the socket
	 */
	static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
		}
		catch (IOException ex) {
			// The option cannot be set on a closed socket; closing it again is harmless.
		}
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The socket is discarded, and a reset drops unsent data anyway.
		}
	}

}
