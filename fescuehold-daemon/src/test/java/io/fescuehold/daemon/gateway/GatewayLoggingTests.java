package io.fescuehold.daemon.gateway;

import java.util.ServiceLoader;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that logging never blocks a gateway and that other programs keep their logging
 * configuration.
 */
class GatewayLoggingTests {

	private final LoggerContext context = new LoggerContext();

	@AfterEach
	void clear() {
		System.clearProperty(GatewayLogging.PROPERTY);
		this.context.stop();
	}

	@Test
	void gatewayLogsThroughNonBlockingQueue() {
		System.setProperty(GatewayLogging.PROPERTY, "true");
		Configurator.ExecutionStatus status = new GatewayLogging().configure(this.context);
		assertThat(status).isEqualTo(Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY);
		assertThat(this.context.getLogger(Logger.ROOT_LOGGER_NAME).getAppender("ASYNC"))
			.isInstanceOfSatisfying(AsyncAppender.class, (appender) -> {
				assertThat(appender.isNeverBlock()).isTrue();
				assertThat(appender.isStarted()).isTrue();
				assertThat(appender.getAppender("JSON").isStarted()).isTrue();
			});
		assertThat(this.context.getLogger("reactor.netty").getLevel()).isEqualTo(Level.WARN);
	}

	@Test
	void configurationIsUnchangedWithoutTheProperty() {
		Configurator.ExecutionStatus status = new GatewayLogging().configure(this.context);
		assertThat(status).isEqualTo(Configurator.ExecutionStatus.INVOKE_NEXT_IF_ANY);
		assertThat(this.context.getLogger(Logger.ROOT_LOGGER_NAME).iteratorForAppenders().hasNext()).isFalse();
	}

	@Test
	void configuratorIsRegisteredAsService() {
		assertThat(ServiceLoader.load(Configurator.class)).anyMatch(GatewayLogging.class::isInstance);
	}

}
