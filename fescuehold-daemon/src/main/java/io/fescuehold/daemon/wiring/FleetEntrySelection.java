package io.fescuehold.daemon.wiring;

import java.util.Random;
import java.util.function.LongSupplier;

import io.fescuehold.core.entry.EntrySelector;
import io.fescuehold.runtime.fleet.HostDirectory;
import io.fescuehold.runtime.http.port.EntrySelection;

/**
 * Selects the routers of a chat among the live ones. A caller without a chat gets a
 * random order, so that such callers spread.
 */
final class FleetEntrySelection implements EntrySelection {

	private final EntrySelector selector = new EntrySelector();

	private final HostDirectory hosts;

	private final LongSupplier validForMs;

	private final Random random;

	/**
	 * Creates a selection.
	 * @param hosts the routers
	 * @param validForMs how long responses hold, in milliseconds
	 * @param seed the seed of the order for callers without a chat
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
