package io.fescuehold.runtime.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;

import io.fescuehold.runtime.http.ScriptedServer;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests a caller that reads slowly while the server of its stream is lost (ORDER): an
 * event that waits for the caller when the server's connection breaks must not be missing
 * from the stream that another server continues.
 */
@Timeout(60)
class SlowCallerStreamTests {

	private static final int EVENTS = 400;

	private static final int EVENT_BYTES = 40_000;

	private static final int RECEIVE_BUFFER_BYTES = 64 << 10;

	private static final Pattern EVENT_ID = Pattern.compile("id: (\\d+)\n");

	private final int[] breaksAfter = new int[1];

	private void serve(ScriptedServer.Received request, ScriptedServer.Connection connection) throws Exception {
		int after = Integer.parseInt(request.headers().getOrDefault("Last-Event-ID", "0"));
		int last = (after == 0) ? this.breaksAfter[0] : EVENTS;
		connection.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + request.headers().get("X-Request")
				+ "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
		StringBuilder events = new StringBuilder();
		for (int position = after + 1; position <= last; position++) {
			events.append("id: ").append(position).append("\ndata: ").append("x".repeat(EVENT_BYTES)).append("\n\n");
		}
		connection.chunk(events.toString());
		if (after == 0) {
			Thread.sleep(100);
			connection.reset();
			throw new IOException("the connection ends");
		}
		connection.send("0\r\n\r\n");
	}

	@ParameterizedTest
	@ValueSource(ints = { 140, 200, 260, 320 })
	void eventsThatWaitForTheCallerAreNotLostWithTheServer(int events) throws Exception {
		this.breaksAfter[0] = events;
		try (ScriptedServer one = new ScriptedServer(this::serve);
				ScriptedServer two = new ScriptedServer(this::serve);
				TestGateway gateway = new TestGateway(one, two)) {
			String stream = readSlowly(gateway.server().port());
			List<Long> received = new ArrayList<>();
			Matcher ids = EVENT_ID.matcher(stream);
			while (ids.find()) {
				received.add(Long.valueOf(ids.group(1)));
			}
			assertThat(stream).as("a stream that is complete").endsWith("\r\n0\r\n\r\n");
			assertThat(received).isEqualTo(LongStream.rangeClosed(1, EVENTS).boxed().toList());
		}
	}

	private static String readSlowly(int port) throws Exception {
		StringBuilder stream = new StringBuilder();
		try (Socket socket = new Socket()) {
			socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
			socket.getOutputStream()
				.write(("POST /patient/x HTTP/1.1\r\nHost: h.example\r\nX-Key: key\r\nX-Request: r1\r\n"
						+ "Content-Length: 0\r\nConnection: close\r\n\r\n")
					.getBytes(StandardCharsets.UTF_8));
			InputStream in = socket.getInputStream();
			byte[] piece = new byte[RECEIVE_BUFFER_BYTES];
			Thread.sleep(500);
			for (int count = in.read(piece); count >= 0; count = in.read(piece)) {
				stream.append(new String(piece, 0, count, StandardCharsets.UTF_8));
			}
		}
		return stream.toString();
	}

}
