package io.fescuehold.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ServiceLoader;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that logging never blocks a gateway and that other programs keep their logging
 * configuration.
 */
class GatewayLoggingTests {

	private static final int LINES = 100;

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

	// A process that ended lost the lines that waited, among them the one that tells how
	// its connections ended.
	@Test
	void waitingLinesAreWrittenWhenTheProcessEnds() {
		System.setProperty(GatewayLogging.PROPERTY, "true");
		SlowOutput output = new SlowOutput();
		PrintStream standardOutput = System.out;
		System.setOut(new PrintStream(output));
		try {
			this.context.setMDCAdapter(new LogbackMDCAdapter());
			new GatewayLogging().configure(this.context);
			Logger root = this.context.getLogger(Logger.ROOT_LOGGER_NAME);
			for (int line = 0; line < LINES; line++) {
				root.info("line {}", line);
			}
			GatewayLogging.stop(this.context);
		}
		finally {
			System.setOut(standardOutput);
		}
		assertThat(output.toString(StandardCharsets.UTF_8).lines()).hasSize(LINES);
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

	/**
	 * Takes a millisecond for each write.
	 */
	private static final class SlowOutput extends ByteArrayOutputStream {

		@Override
		public synchronized void write(byte[] bytes, int offset, int length) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
			super.write(bytes, offset, length);
		}

	}

}
