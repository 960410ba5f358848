package review2.rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A backend server of PROTOCOL.md whose answers a case decides. */
public final class Server implements AutoCloseable {

	/** Answers one request; returns whether the connection is kept. */
	public interface Handler {

		boolean answer(Server server, Http.Head head, byte[] body, OutputStream out) throws IOException;

	}

	public final String id;

	public final String service;

	private final ServerSocket listener;

	private final Handler handler;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	public Server(String id, String service, String ip, Handler handler) throws IOException {
		this.id = id;
		this.service = service;
		this.handler = handler;
		this.listener = new ServerSocket(0, 512, InetAddress.getByName(ip));
		Thread.ofVirtual().start(this::accept);
	}

	public String address() {
		return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
	}

	/** Returns the status line and the fields that every answer of a server carries. */
	public String signed(String status, String requestId) {
		return "HTTP/1.1 " + status + "\r\n" + Names.ID + ": " + requestId + "\r\n" + Names.STAMP + ": "
				+ this.id + "." + requestId + "\r\n";
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				this.open.add(socket);
				Thread.ofVirtual().start(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
				byte[] body = Http.readBody(in, head, false);
				if (!answerOwn(head, out) && !this.handler.answer(this, head, body, out)) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The caller has gone.
		}
		finally {
			this.open.remove(socket);
		}
	}

	private boolean answerOwn(Http.Head head, OutputStream out) throws IOException {
		String expected = head.field(Names.EXPECTED_INSTANCE);
		if (expected != null && !expected.equals(this.id)) {
			out.write(Http.bytes("HTTP/1.1 421 Misdirected Request\r\nFescuehold-Instance-Id: " + this.id
					+ "\r\n" + Names.NOT_RUN + ": 1\r\nContent-Length: 0\r\n\r\n"));
			return true;
		}
		if (head.target().equals("/healthz")) {
			out.write(Http.bytes("HTTP/1.1 200 OK\r\nFescuehold-Instance-Id: " + this.id
					+ "\r\nFescuehold-Server-Load: 0,0,8\r\nContent-Length: 0\r\n\r\n"));
			return true;
		}
		return false;
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Socket socket : this.open) {
			socket.close();
		}
	}

}
