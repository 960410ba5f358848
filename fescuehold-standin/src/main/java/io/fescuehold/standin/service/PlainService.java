package io.fescuehold.standin.service;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32C;

import io.fescuehold.standin.http.AvailabilityControl;
import io.fescuehold.standin.http.JsonHttp;
import io.fescuehold.standin.http.LoopbackServer;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * A plain HTTP service on the loopback address. It answers any method and path, does not
 * recognise repeated idempotency keys, and counts its executions. All requests, notably
 * those for administration, are also served at a second port, which stays open while the
 * first one refuses connections.
 */
public final class PlainService implements AutoCloseable {

	private static final int BAD_REQUEST = 400;

	private static final int PRECONDITION_FAILED = 412;

	private static final int INTERNAL_SERVER_ERROR = 500;

	private final ServiceOptions options;

	private final ExecutionLog log;

	private final FencingRegister fencing = new FencingRegister();

	private final AtomicInteger remainingFaultyRequests = new AtomicInteger();

	private final AvailabilityControl availability;

	private final LoopbackServer server;

	private final LoopbackServer admin;

	private volatile ServiceFaults faults = ServiceFaults.NONE;

	private PlainService(int port, int adminPort, ServiceOptions options) {
		this.options = options;
		this.log = new ExecutionLog(options.logFile());
		this.server = LoopbackServer.bind(port, this::handle);
		this.admin = LoopbackServer.bind(adminPort, this::handle);
		this.availability = new AvailabilityControl(this.server);
	}

	/**
	 * Starts a service.
	 * @param port the port, or 0 for any free port
	 * @param adminPort the port that is never refused, or 0 for any free port
	 * @param options its behaviour
	 * @return the running service
	 */
	public static PlainService start(int port, int adminPort, ServiceOptions options) {
		return new PlainService(port, adminPort, options);
	}

	/**
	 * Starts a service at any free port.
	 * @param options its behaviour
	 * @return the running service
	 */
	public static PlainService start(ServiceOptions options) {
		return start(0, 0, options);
	}

	/**
	 * Returns the port of the service.
	 * @return the port
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Returns the port that is never refused.
	 * @return the port
	 */
	public int adminPort() {
		return this.admin.port();
	}

	/**
	 * Returns the numbers of executions so far.
	 * @return the counts
	 */
	public ExecutionLog.Counts executions() {
		return this.log.counts();
	}

	/**
	 * Sets the active faults.
	 * @param newFaults the faults, {@link ServiceFaults#NONE} to clear all
	 */
	public void faults(ServiceFaults newFaults) {
		this.remainingFaultyRequests.set(newFaults.times());
		this.faults = newFaults;
		this.availability.set(newFaults.refuseConnections(), newFaults.flapPeriodMs());
	}

	private ServiceFaults consumeFaults() {
		ServiceFaults current = this.faults;
		if (current.times() == 0 || this.remainingFaultyRequests.getAndDecrement() > 0) {
			return current;
		}
		return ServiceFaults.NONE;
	}

	private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		return switch (request.method().name() + " " + JsonHttp.path(request)) {
			case "GET /executions" -> JsonHttp.send(response, 200, executions());
			case "POST /standin/faults" -> setFaults(request, response);
			default -> run(request, response);
		};
	}

	private Mono<Void> run(HttpServerRequest request, HttpServerResponse response) {
		ServiceFaults current = consumeFaults();
		if (current.answer500()) {
			return JsonHttp.sendError(response, INTERNAL_SERVER_ERROR, "The fault answer500 is active");
		}
		return JsonHttp.body(request).flatMap((body) -> {
			if (current.dropBeforeExecute()) {
				return JsonHttp.reset(response);
			}
			Call call;
			try {
				call = Call.of(request);
			}
			catch (NumberFormatException ex) {
				return JsonHttp.sendError(response, BAD_REQUEST, "Fescuehold-Fencing-Number must be a number");
			}
			if (outdated(call)) {
				return JsonHttp.sendError(response, PRECONDITION_FAILED,
						"Fencing number " + call.fencingNumber() + " is outdated for key " + call.key());
			}
			return execute(call).then(Mono.defer(() -> answer(response, current, call, body)));
		});
	}

	private boolean outdated(Call call) {
		return this.options.checkFencing() && call.key() != null && call.fencingNumber() != null
				&& !this.fencing.admit(call.key(), call.fencingNumber());
	}

	/**
	 * Executes a call. Like a real service that has started to work, it completes the
	 * call even if the connection is lost in the meantime.
	 * @param call the call
	 * @return completes when the execution is in the log
	 */
	private Mono<Void> execute(Call call) {
		Mono<Void> append = Mono.fromRunnable(() -> this.log.append(new ExecutionLog.Execution(call.key(),
				call.fencingNumber(), call.method(), call.path(), System.currentTimeMillis())));
		boolean takesTime = this.options.durationMs() > 0 && !"GET".equals(call.method());
		Mono<Void> work = (takesTime) ? Mono.delay(Duration.ofMillis(this.options.durationMs())).then(append) : append;
		Mono<Void> detached = work.subscribeOn(Schedulers.boundedElastic()).cache();
		detached.subscribe((done) -> {
		}, (ex) -> {
		});
		return detached;
	}

	private Mono<Void> answer(HttpServerResponse response, ServiceFaults current, Call call, byte[] body) {
		if (current.executeThenDrop()) {
			return JsonHttp.reset(response);
		}
		if (current.silent()) {
			return Mono.never();
		}
		Mono<Void> answer = JsonHttp.send(response, 200, deterministicAnswer(call.method(), call.path(), body));
		return (current.answerDelayMs() > 0) ? Mono.delay(Duration.ofMillis(current.answerDelayMs())).then(answer)
				: answer;
	}

	/**
	 * Returns the response to a call, which depends only on the call.
	 * @param method the HTTP method
	 * @param path the path
	 * @param body the body
	 * @return the properties of the response
	 */
	public static Map<String, Object> deterministicAnswer(String method, String path, byte[] body) {
		CRC32C checksum = new CRC32C();
		checksum.update(body);
		Map<String, Object> answer = new LinkedHashMap<>();
		answer.put("method", method);
		answer.put("path", path);
		answer.put("bodyBytes", body.length);
		answer.put("bodyChecksum", checksum.getValue());
		return answer;
	}

	private Mono<Void> setFaults(HttpServerRequest request, HttpServerResponse response) {
		return JsonHttp.read(request, response, ServiceFaults.class,
				(body) -> Mono.fromRunnable(() -> faults(body))
					.subscribeOn(Schedulers.boundedElastic())
					.then(JsonHttp.send(response, 200, body)));
	}

	@Override
	public void close() {
		this.availability.close();
		this.server.close();
		this.admin.close();
		this.log.close();
	}

	/**
	 * The parts of a request that are logged.
	 *
	 * @param key the idempotency key, or null
	 * @param fencingNumber the fencing number, or null
	 * @param method the HTTP method
	 * @param path the path
	 */
	private record Call(String key, Long fencingNumber, String method, String path) {

		static Call of(HttpServerRequest request) {
			String number = request.requestHeaders().get("Fescuehold-Fencing-Number");
			return new Call(request.requestHeaders().get("Idempotency-Key"),
					(number != null) ? Long.valueOf(number) : null, request.method().name(), JsonHttp.path(request));
		}

	}

}
