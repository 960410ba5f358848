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

/**
 * Writes the log of a gateway to standard output as JSON lines. Configured in code,
 * because reading a configuration file is a third of the time until a daemon serves after
 * a restart. Takes effect if the system property {@value #PROPERTY} is set; other
 * programs go on to their configuration files.
 */
public final class GatewayLogging extends ContextAwareBase implements Configurator {

	/** Set to any value for a program that logs like a gateway. */
	static final String PROPERTY = "fescuehold.gatewayLogging";

	/** Lines that may wait; about a second's at the bound of the request log. */
	private static final int QUEUED_LINES = 2_048;

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
		async.setQueueSize(QUEUED_LINES);
		// Lines are dropped rather than waited for when the reader of standard output is
		// slow.
		async.setNeverBlock(true);
		async.addAppender(console);
		async.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.INFO);
		root.addAppender(async);
		context.getLogger("reactor.netty").setLevel(Level.WARN);
		context.getLogger("io.netty").setLevel(Level.WARN);
		// The gateway logs each broken response itself, with the id of the request.
		context.getLogger("reactor.netty.http.server.HttpServerOperations").setLevel(Level.OFF);
		return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
	}

}
