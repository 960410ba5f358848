package io.fescuehold.runtime.gateway;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import io.fescuehold.core.prompt.EngineChoice;
import io.fescuehold.core.prompt.EnginePlacement;
import io.fescuehold.core.prompt.EngineRequest;
import io.fescuehold.core.prompt.MemoryInUse;
import io.fescuehold.core.prompt.PromptShape;
import io.fescuehold.core.routes.EngineSpec;
import io.fescuehold.core.routes.RoutedService;
import io.fescuehold.core.servers.LeastLoadedSelector;
import io.fescuehold.core.servers.ServerState;
import io.fescuehold.core.servers.WorkTimes;

/**
 * Places requests on servers by load, memory, cached prompt parts and speed, and learns
 * from their responses how fast each server is. Not thread-safe: confined to one thread.
 */
final class RequestPlacement {

	private final GatewayBelief belief;

	private final LeastLoadedSelector leastLoadedSelector;

	private final EnginePlacement enginePlacement;

	private final RequestDemands demands = new RequestDemands();

	private final MemoryInUse memory;

	/** The times to the first event by service, and of plain requests by route. */
	private final WorkTimes times = new WorkTimes();

	RequestPlacement(String failureDomain, GatewayBelief belief, RandomGenerator random) {
		this.belief = belief;
		this.memory = belief.memoryInUse();
		this.leastLoadedSelector = new LeastLoadedSelector(failureDomain, random);
		this.enginePlacement = new EnginePlacement(belief.holders(), this.memory, this.times);
	}

	/**
	 * Chooses the server of a request.
	 * @param request the request
	 * @param servers the servers that may run it, at least one
	 * @param sources the servers that prompt parts may be copied from
	 * @param nowMs the time in milliseconds
	 * @return the target
	 */
	Dispatcher.Target select(GatewayRequest request, List<ServerState> servers, List<ServerState> sources, long nowMs) {
		PromptShape prompt = request.head().prompt();
		if (prompt == null) {
			double usualMs = this.times.expectedMs(plainKind(request), 0);
			return new Dispatcher.Target(this.leastLoadedSelector.select(servers, usualMs, nowMs), null, "LEAST_COST",
					false);
		}
		EngineRequest engineRequest = new EngineRequest(request.service(), prompt, this.demands.of(request),
				engine(request.service()));
		EngineChoice choice = this.enginePlacement.choose(engineRequest, servers, sources, nowMs);
		return new Dispatcher.Target(choice.server(), choice.copyFrom(), choice.reason().name(), false,
				new Work(engineRequest, choice.unreadTokens()));
	}

	private static String plainKind(GatewayRequest request) {
		return "route " + request.route().name();
	}

	private EngineSpec engine(String serviceName) {
		RoutedService service = (this.belief.table() != null) ? this.belief.table().service(serviceName) : null;
		return (service != null) ? service.engine() : null;
	}

	/**
	 * Counts the memory of a request from the start of an attempt.
	 * @param target its target
	 */
	void started(Dispatcher.Target target) {
		if (takesMemory(target)) {
			EngineRequest request = target.work().request();
			this.memory.begin(target.server().server().id(), request.prompt(), request.demand());
		}
	}

	/**
	 * Releases the memory of a request at the end of an attempt.
	 * @param target its target
	 */
	void ended(Dispatcher.Target target) {
		if (takesMemory(target)) {
			EngineRequest request = target.work().request();
			this.memory.end(target.server().server().id(), request.prompt(), request.demand());
		}
	}

	// A request that exceeds the memory of a server is rejected and takes none.
	private static boolean takesMemory(Dispatcher.Target target) {
		return target.work() != null && target.work().request().engine() != null
				&& target.work().request().demand().memoryTokens() <= target.work().request().engine().cacheTokens();
	}

	/**
	 * Learns from the time to the first event of a stream. Copies take time that has
	 * nothing to do with the speed of reading.
	 * @param target the server
	 * @param timeMs the time in milliseconds since the attempt began
	 * @param nowMs the time in milliseconds
	 */
	void recordFirstEvent(Dispatcher.Target target, long timeMs, long nowMs) {
		if (target.work() != null && target.copyFrom() == null) {
			record(target.work().request().service(), target.work().unreadTokens(), target.server(), timeMs, nowMs);
		}
	}

	/**
	 * Learns from the time of a plain request.
	 * @param request the request
	 * @param target the server
	 * @param timeMs the time in milliseconds since the attempt began
	 * @param nowMs the time in milliseconds
	 */
	void recordAnswer(GatewayRequest request, Dispatcher.Target target, long timeMs, long nowMs) {
		if (request.head().prompt() == null && !target.relay()) {
			record(plainKind(request), 0, target.server(), timeMs, nowMs);
		}
	}

	// Requests at a full server wait, whatever its speed.
	private void record(String kind, int readTokens, ServerState server, long timeMs, long nowMs) {
		if (server.load(nowMs) >= server.server().slots()) {
			return;
		}
		double expectedMs = this.times.expectedMs(kind, readTokens);
		if (!Double.isNaN(expectedMs)) {
			server.speed().recordTime(timeMs, expectedMs, nowMs);
		}
		this.times.record(kind, readTokens, timeMs / server.speed().momentFactor(nowMs));
	}

	/**
	 * Learns from the length of a complete stream.
	 * @param request the request
	 * @param target the server
	 * @param events the events that the stream had
	 */
	void recordLength(GatewayRequest request, Dispatcher.Target target, long events) {
		if (target.work() != null && target.work().request().engine() != null) {
			this.demands.recordOutput(request.route().name(), events * target.work().request().engine().eventTokens());
		}
	}

	/**
	 * Returns the inputs of a choice for the log.
	 * @param target the target
	 * @param nowMs the time in milliseconds
	 * @return the text, empty for plain requests at a server of usual speed
	 */
	String describe(Dispatcher.Target target, long nowMs) {
		ServerState server = target.server();
		String speed = String.format("; work takes %.2f of the usual time there, learned %.2f from %d times",
				server.speed().factor(nowMs), server.speed().learnedFactor(nowMs), server.speed().timeCount());
		if (target.work() == null) {
			return (server.speed().factor(nowMs) != 1) ? speed : "";
		}
		EngineRequest request = target.work().request();
		return speed + "; reads " + target.work().unreadTokens() + " of " + request.demand().readTokens()
				+ " tokens, writes " + request.demand().writeTokens() + ", memory " + this.memory.tokens(server)
				+ " of " + ((request.engine() != null) ? request.engine().cacheTokens() : "unknown") + " in use, "
				+ server.waiting(nowMs) + " wait there";
	}

	/**
	 * Returns what is known of the speed and the memory of a server.
	 * @param server the server
	 * @param nowMs the time in milliseconds
	 * @return the state in a form that Jackson can serialise
	 */
	Map<String, Object> dump(ServerState server, long nowMs) {
		Map<String, Object> dump = new TreeMap<>();
		dump.put("momentFactor", server.speed().momentFactor(nowMs));
		dump.put("momentAgeMs", server.speed().momentAgeMs(nowMs));
		dump.put("learnedFactor", server.speed().learnedFactor(nowMs));
		dump.put("domainFactor", domainFactor(server, nowMs));
		dump.put("times", server.speed().timeCount());
		dump.put("memoryTokens", this.memory.tokens(server));
		return dump;
	}

	// Where all servers of a failure domain seem slow, the path of this host to it may
	// be slow instead.
	private double domainFactor(ServerState server, long nowMs) {
		return this.belief.servers()
			.of(server.server().service())
			.stream()
			.filter((other) -> other.server().failureDomain().equals(server.server().failureDomain()))
			.mapToDouble((other) -> other.speed().learnedFactor(nowMs))
			.average()
			.orElse(1);
	}

	/**
	 * What a request at an engine takes.
	 *
	 * @param request the request
	 * @param unreadTokens the tokens of the prompt that the server is not known to hold
	 */
	record Work(EngineRequest request, int unreadTokens) {

	}

}
