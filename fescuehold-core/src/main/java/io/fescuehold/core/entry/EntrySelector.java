package io.fescuehold.core.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import io.fescuehold.core.placement.RendezvousHash;

/**
 * Orders the entry hosts for a chat by rendezvous hash. Hosts with different lists return
 * the same first two addresses unless the lists differ in one of these two. The second
 * address is in another failure domain than the first if there is one.
 */
public final class EntrySelector {

	private static final int MAX_ADDRESSES = 4;

	/**
	 * Selects the addresses for a chat.
	 * @param chatId the chat, or a random id for a request outside any chat
	 * @param hosts the hosts known
	 * @param validForMs how long the answer is valid, in milliseconds
	 * @return the answer
	 */
	public EntryAnswer select(String chatId, Collection<EntryHost> hosts, long validForMs) {
		long chatHash = RendezvousHash.hash(chatId);
		List<ScoredHost> scored = new ArrayList<>();
		for (EntryHost host : hosts) {
			if (host.state() == EntryHost.State.LIVE) {
				long hash = RendezvousHash.combine(chatHash, RendezvousHash.hash(host.hostId()));
				scored.add(new ScoredHost(host, hash));
			}
		}
		scored.sort(Comparator.comparingLong(ScoredHost::hash).thenComparing((entry) -> entry.host.hostId()));
		moveOtherDomainToSecond(scored);
		return new EntryAnswer(scored.stream().limit(MAX_ADDRESSES).map((entry) -> entry.host.address()).toList(),
				validForMs);
	}

	private static void moveOtherDomainToSecond(List<ScoredHost> scored) {
		for (int index = 1; index < scored.size(); index++) {
			if (!scored.get(index).host.failureDomain().equals(scored.getFirst().host.failureDomain())) {
				scored.add(1, scored.remove(index));
				return;
			}
		}
	}

	private record ScoredHost(EntryHost host, long hash) {

	}

}
