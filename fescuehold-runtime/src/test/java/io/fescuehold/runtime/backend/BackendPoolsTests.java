package io.fescuehold.runtime.backend;

import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import io.fescuehold.runtime.http.ScriptedServer;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers of servers that arrive on another thread than the one to which
 * the state of the gateway is confined.
 */
class BackendPoolsTests {

	@Test
	void answersArriveOnTheThreadOfTheListener() {
		LoopResources loops = LoopResources.create("test", 1, true);
		Scheduler listener = Schedulers.fromExecutorService(loops.onServer(false).next());
		BackendPools pools = new BackendPools(BackendOptions.DEFAULT, loops);
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection.answer(200, "ok"))) {
			Thread owner = Mono.fromSupplier(Thread::currentThread).subscribeOn(listener).block();
			AtomicReference<Thread> answering = new AtomicReference<>();
			BackendExchange.sendAndCollect(() -> pools.pool("127.0.0.1", server.port()).pooled(),
					new BackendRequest("GET", "/", Map.of(), new byte[0], (kept) -> {
					}), 1_000)
				.doOnNext((response) -> answering.set(Thread.currentThread()))
				.block();
			assertThat(answering).hasValue(owner);
		}
		finally {
			pools.close();
			loops.dispose();
		}
	}

}
