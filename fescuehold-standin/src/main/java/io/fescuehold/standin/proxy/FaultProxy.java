package io.fescuehold.standin.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.fescuehold.standin.http.LoopbackServer;

/**
 * A TCP proxy on the loopback address that injects faults. Each connection uses blocking
 * sockets on virtual threads, so that a slow reader slows the writer as it would without
 * the proxy.
 */
public final class FaultProxy implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MS = 2_000;

	private static final int BACKLOG = 512;

	private final Set<ProxyConnection> connections = ConcurrentHashMap.newKeySet();

	private final int targetPort;

	private final int port;

	private volatile ProxyFault fault = new ProxyFault.Pass();

	private ServerSocket listener;

	private Thread acceptor;

	private FaultProxy(int port, int targetPort) {
		this.targetPort = targetPort;
		this.listener = listen(port);
		this.port = this.listener.getLocalPort();
	}

	/**
	 * Starts a proxy at any free port.
	 * @param targetPort the loopback port to which connections are passed
	 * @return the running proxy
	 */
	public static FaultProxy start(int targetPort) {
		return new FaultProxy(0, targetPort);
	}

	/**
	 * Starts a proxy.
	 * @param port the port, or 0 for any free port
	 * @param targetPort the loopback port to which connections are passed
	 * @return the running proxy
	 */
	public static FaultProxy start(int port, int targetPort) {
		return new FaultProxy(port, targetPort);
	}

	/**
	 * Returns the port of the proxy.
	 * @return the port
	 */
	public int port() {
		return this.port;
	}

	/**
	 * Returns the number of open connections.
	 * @return the connections
	 */
	public int openConnections() {
		return this.connections.size();
	}

	/**
	 * Replaces the active fault.
	 * @param newFault the fault
	 */
	public synchronized void set(ProxyFault newFault) {
		switch (newFault) {
			case ProxyFault.Cut cut -> {
				apply(new ProxyFault.Pass());
				resetConnections();
			}
			case ProxyFault.SilenceExisting silence -> {
				this.connections.forEach(ProxyConnection::silencePermanently);
				apply(new ProxyFault.Pass());
			}
			case ProxyFault.Refuse refuse -> {
				apply(refuse);
				resetConnections();
			}
			default -> apply(newFault);
		}
	}

	private void apply(ProxyFault newFault) {
		this.fault = newFault;
		boolean refuse = newFault instanceof ProxyFault.Refuse;
		if (refuse && this.listener != null) {
			closeListener();
		}
		else if (!refuse && this.listener == null) {
			this.listener = listen(this.port);
		}
		this.connections.forEach(ProxyConnection::faultChanged);
	}

	/**
	 * Passes all bytes from now on; connections that lost bytes stay silent.
	 */
	public void pass() {
		set(new ProxyFault.Pass());
	}

	/**
	 * Resets all open connections; new ones pass.
	 */
	public void cut() {
		set(new ProxyFault.Cut());
	}

	/**
	 * Refuses new connections and resets the open ones.
	 */
	public void refuse() {
		set(new ProxyFault.Refuse());
	}

	/**
	 * Drops bytes in a direction while connections stay open.
	 * @param direction the direction
	 */
	public void silent(Direction direction) {
		set(new ProxyFault.Silent(direction));
	}

	/**
	 * Silences the open connections permanently; new ones pass.
	 */
	public void silenceExisting() {
		set(new ProxyFault.SilenceExisting());
	}

	/**
	 * Returns the active fault.
	 * @return the fault
	 */
	public ProxyFault fault() {
		return this.fault;
	}

	private ServerSocket listen(int requestedPort) {
		try {
			ServerSocket socket = new ServerSocket();
			socket.setReuseAddress(true);
			socket.bind(new InetSocketAddress(InetAddress.getByName(LoopbackServer.HOST), requestedPort), BACKLOG);
			this.acceptor = Thread.ofVirtual().name("proxy-accept").start(() -> accept(socket));
			return socket;
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Port " + requestedPort + " cannot be bound", ex);
		}
	}

	private void accept(ServerSocket socket) {
		while (!socket.isClosed()) {
			try {
				Socket client = socket.accept();
				Thread.ofVirtual().name("proxy-connect").start(() -> connect(client));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void connect(Socket client) {
		Socket server = new Socket();
		try {
			client.setTcpNoDelay(true);
			server.setTcpNoDelay(true);
			server.connect(new InetSocketAddress(InetAddress.getByName(LoopbackServer.HOST), this.targetPort),
					CONNECT_TIMEOUT_MS);
		}
		catch (IOException ex) {
			ProxyConnection.reset(client);
			ProxyConnection.reset(server);
			return;
		}
		ProxyConnection connection = new ProxyConnection(client, server, this::fault, this.connections::remove);
		this.connections.add(connection);
		connection.start();
	}

	private void closeListener() {
		try {
			this.listener.close();
			this.listener = null;
			// The port is only closed once the thread that accepts connections has
			// returned.
			this.acceptor.join();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("The port cannot be closed", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void resetConnections() {
		this.connections.forEach(ProxyConnection::close);
	}

	@Override
	public synchronized void close() {
		if (this.listener != null) {
			closeListener();
		}
		resetConnections();
	}

}
