package io.fescuehold.core.view;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import io.fescuehold.config.Claim;
import io.fescuehold.config.ItemKind;
import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.Release;
import io.fescuehold.config.ServiceSpec;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.config.TeamSpec;

/**
 * The accepted configuration of every share, each at one number. Items in transfer have
 * at most one owner: a released item has none in its old share, and a claim counts only
 * if the releasing share is known at or above the number of the release.
 */
public final class FleetView {

	/** The view before any configuration has arrived. */
	public static final FleetView EMPTY = new FleetView(Map.of());

	private final SortedMap<String, ShareConfig> shares;

	private final SortedMap<String, Owned<TeamSpec>> teams = new TreeMap<>();

	private final SortedMap<String, Owned<ModelServerSpec>> modelServers = new TreeMap<>();

	private final SortedMap<String, Owned<ServiceSpec>> services = new TreeMap<>();

	private FleetView(Map<String, ShareConfig> shares) {
		this.shares = Collections.unmodifiableSortedMap(new TreeMap<>(shares));
		this.shares.values().forEach(this::addOwned);
	}

	/**
	 * Returns a view with a newer configuration of one share.
	 * @param config the configuration
	 * @return the new view, or this view if it holds the same or a newer number of the
	 * share
	 */
	public FleetView with(ShareConfig config) {
		if (number(config.share()) >= config.number()) {
			return this;
		}
		Map<String, ShareConfig> newShares = new TreeMap<>(this.shares);
		newShares.put(config.share(), config);
		return new FleetView(newShares);
	}

	private void addOwned(ShareConfig config) {
		addOwned(config, ItemKind.TEAM, config.teams(), this.teams);
		addOwned(config, ItemKind.MODEL_SERVER, config.modelServers(), this.modelServers);
		addOwned(config, ItemKind.SERVICE, config.services(), this.services);
	}

	private <T> void addOwned(ShareConfig config, ItemKind kind, SortedMap<String, T> items,
			SortedMap<String, Owned<T>> owned) {
		items.forEach((id, spec) -> {
			// If several shares list the same item without a claim, none of them owns
			// it, so that the owner does not depend on the order of arrival.
			if (owns(config, kind, id) && !isOwnedByAnother(config, kind, id)) {
				owned.put(id, new Owned<>(config.share(), spec));
			}
		});
	}

	private boolean isOwnedByAnother(ShareConfig config, ItemKind kind, String id) {
		return this.shares.values()
			.stream()
			.anyMatch((other) -> other != config && lists(other, kind, id) && owns(other, kind, id));
	}

	private boolean owns(ShareConfig config, ItemKind kind, String id) {
		if (config.releases(kind, id)) {
			return false;
		}
		return config.claims()
			.stream()
			.filter((claim) -> claim.kind() == kind && claim.id().equals(id))
			.allMatch((claim) -> isReleased(config.share(), claim));
	}

	private boolean isReleased(String toShare, Claim claim) {
		ShareConfig from = this.shares.get(claim.fromShare());
		if (from == null || from.number() < claim.releaseNumber()) {
			return false;
		}
		Release release = new Release(claim.kind(), claim.id(), toShare);
		return from.releases().contains(release) || !lists(from, claim.kind(), claim.id());
	}

	private static boolean lists(ShareConfig config, ItemKind kind, String id) {
		return switch (kind) {
			case TEAM -> config.teams().containsKey(id);
			case MODEL_SERVER -> config.modelServers().containsKey(id);
			case SERVICE -> config.services().containsKey(id);
		};
	}

	/**
	 * Returns the configurations by share.
	 * @return the configurations
	 */
	public SortedMap<String, ShareConfig> shares() {
		return this.shares;
	}

	/**
	 * Returns the number of a share's configuration.
	 * @param share the share
	 * @return the number, or -1 if no configuration of the share is known
	 */
	public long number(String share) {
		ShareConfig config = this.shares.get(share);
		return (config != null) ? config.number() : -1;
	}

	/**
	 * Returns the teams that have an owner.
	 * @return the teams by id
	 */
	public SortedMap<String, Owned<TeamSpec>> teams() {
		return Collections.unmodifiableSortedMap(this.teams);
	}

	/**
	 * Returns the model servers that have an owner.
	 * @return the servers by id
	 */
	public SortedMap<String, Owned<ModelServerSpec>> modelServers() {
		return Collections.unmodifiableSortedMap(this.modelServers);
	}

	/**
	 * Returns the services that have an owner.
	 * @return the services by name
	 */
	public SortedMap<String, Owned<ServiceSpec>> services() {
		return Collections.unmodifiableSortedMap(this.services);
	}

	/**
	 * Returns the share that serves a request.
	 * @param team the team of the request
	 * @param chatId the chat of the request, or null
	 * @return the share of the longest chat rule that covers the chat, else the share
	 * that owns the team, or null if the team has no owner
	 */
	public String shareOf(String team, String chatId) {
		Owned<TeamSpec> owned = this.teams.get(team);
		if (owned == null) {
			return null;
		}
		String share = owned.share();
		int longest = -1;
		for (ShareConfig config : this.shares.values()) {
			int length = (chatId != null) ? longestPrefix(config, chatId) : -1;
			if (length > longest) {
				longest = length;
				share = config.share();
			}
		}
		return share;
	}

	private static int longestPrefix(ShareConfig config, String chatId) {
		return config.chats()
			.stream()
			.filter((rule) -> chatId.startsWith(rule.idPrefix()))
			.mapToInt((rule) -> rule.idPrefix().length())
			.max()
			.orElse(-1);
	}

	/**
	 * An item with the share that owns it.
	 *
	 * @param share the share
	 * @param spec the item
	 * @param <T> the type of the item
	 */
	public record Owned<T>(String share, T spec) {

	}

}
