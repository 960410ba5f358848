package io.fescuehold.daemon.gateway;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;

/**
 * Logback configuration of a gateway: JSON lines on standard output. Configured in code
 * because parsing a configuration file takes a third of the time from a restart until the
 * daemon serves requests. Applies only if the system property {@value #PROPERTY} is set;
 * otherwise Logback continues with its configuration files.
 */
public final class GatewayLogging extends ContextAwareBase implements Configurator {

	/** The system property that enables this configuration, whatever its value. */
	static final String PROPERTY = "fescuehold.gatewayLogging";

	/** About one second of output at the rate limit of the request log. */
	private static final int QUEUE_CAPACITY_LINES = 2_048;

	/** The time for the lines that wait when the process ends. */
	private static final int MAX_FLUSH_MS = 300;

	/**
	 * Writes the lines that wait, before the process ends. Later lines are dropped.
	 */
	public static void stop() {
		if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
			stop(context);
		}
	}

	static void stop(LoggerContext context) {
		context.stop();
	}

	@Override
	public ExecutionStatus configure(LoggerContext context) {
		if (System.getProperty(PROPERTY) == null) {
			return ExecutionStatus.INVOKE_NEXT_IF_ANY;
		}
		LogstashEncoder encoder = new LogstashEncoder();
		encoder.setContext(context);
		encoder.start();
		ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
		console.setContext(context);
		console.setName("JSON");
		console.setEncoder(encoder);
		console.start();
		AsyncAppender async = new AsyncAppender();
		async.setContext(context);
		async.setName("ASYNC");
		async.setQueueSize(QUEUE_CAPACITY_LINES);
		// Drops lines instead of blocking when the reader of standard output is slow.
		async.setNeverBlock(true);
		async.setMaxFlushTime(MAX_FLUSH_MS);
		async.addAppender(console);
		async.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.INFO);
		root.addAppender(async);
		context.getLogger("reactor.netty").setLevel(Level.WARN);
		context.getLogger("io.netty").setLevel(Level.WARN);
		// The gateway logs failed responses itself, with the id of the request.
		context.getLogger("reactor.netty.http.server.HttpServerOperations").setLevel(Level.OFF);
		return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
	}

}
