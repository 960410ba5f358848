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

	void silenceForGood() {
		this.toServer.silenceForGood();
		this.toClient.silenceForGood();
	}

	void faultChanged() {
		this.toServer.faultChanged();
		this.toClient.faultChanged();
	}

	/** Notes that one direction has ended normally; the other may go on. */
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
	 * Closes a socket so that the other side sees a reset.
	 * @param socket the socket
	 */
	static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
		}
		catch (IOException ex) {
			// A socket that is closed already cannot be set; closing it again is
			// harmless.
		}
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The socket is of no further use, and nothing was sent that could be lost.
		}
	}

}
