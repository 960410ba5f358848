package io.fescuehold.daemon;

import java.util.concurrent.CountDownLatch;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.daemon.cli.ExitCode;
import io.fescuehold.daemon.settings.DaemonSettings;
import io.fescuehold.daemon.wiring.Node;
import org.slf4j.MDC;

/**
 * Runs a daemon until it has drained. A termination signal starts a drain; the process
 * ends when the drain is complete.
 */
public final class Daemon {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private Daemon() {
	}

	/**
	 * Runs a daemon.
	 * @param settings the checked settings
	 * @return the exit code of the process
	 */
	public static int run(DaemonSettings settings) {
		MDC.put("hostId", settings.hostId());
		Node node = new Node(settings);
		CountDownLatch drained = new CountDownLatch(1);
		node.onDrainRequest(() -> node.drain().doFinally((signal) -> drained.countDown()).subscribe());
		// The daemon keeps serving requests until the shutdown hooks have returned. A
		// signal may arrive as soon as a port is bound.
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			node.shutDown();
			logger.atInfo().log("Daemon %s has stopped", settings.hostId());
		}, "drain"));
		try {
			if (node.start()) {
				logger.atInfo().log("Daemon %s is ready", settings.hostId());
			}
		}
		catch (FescueholdException ex) {
			logger.atSevere().withCause(ex).log("Daemon %s could not start: %s", settings.hostId(), ex.getMessage());
			node.stop();
			return ExitCode.REFUSED;
		}
		return await(drained);
	}

	private static int await(CountDownLatch drained) {
		try {
			drained.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return ExitCode.OK;
	}

}
