package io.fescuehold.daemon.wiring;

import java.util.Random;
import java.util.function.LongSupplier;

import io.fescuehold.core.entry.EntrySelector;
import io.fescuehold.runtime.fleet.HostDirectory;
import io.fescuehold.runtime.http.port.EntrySelection;

/**
 * Selects the live routers for a chat. Callers without a chat get the routers in random
 * order, which distributes them evenly.
 */
final class FleetEntrySelection implements EntrySelection {

	private final EntrySelector selector = new EntrySelector();

	private final HostDirectory hosts;

	private final LongSupplier validForMs;

	private final Random random;

	/**
	 * Creates a selection.
	 * @param hosts the routers
	 * @param validForMs the validity of responses in milliseconds
	 * @param seed the seed of the random order for callers without a chat
	 */
	FleetEntrySelection(HostDirectory hosts, LongSupplier validForMs, long seed) {
		this.hosts = hosts;
		this.validForMs = validForMs;
		this.random = new Random(seed);
	}

	@Override
	public EntryAnswer select(String chatId) {
		String key = (chatId != null) ? chatId : Long.toString(this.random.nextLong());
		io.fescuehold.core.entry.EntryAnswer answer = this.selector.select(key, this.hosts.routers(),
				this.validForMs.getAsLong());
		return new EntryAnswer(answer.addresses(), answer.validForMs());
	}

}
