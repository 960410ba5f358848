package io.fescuehold.core.state;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import io.fescuehold.config.Claim;
import io.fescuehold.config.ItemKind;
import io.fescuehold.config.Release;
import io.fescuehold.config.ShareConfig;

/**
 * Checks the rules of a configuration that involve several records, the configuration in
 * force or other shares. Rules on single records are checked when they are parsed.
 */
final class ShareValidator {

	private static final long MS_PER_S = 1_000;

	private final ShareConfig current;

	private final Map<String, ObservedShare> observed;

	private final Transfers transfers;

	private final long nowMs;

	/**
	 * Creates a validator.
	 * @param current the configuration in force
	 * @param observed the observed other shares by name
	 * @param transfers the items that the share has released and claimed
	 * @param nowMs the time in milliseconds since the epoch
	 */
	ShareValidator(ShareConfig current, Map<String, ObservedShare> observed, Transfers transfers, long nowMs) {
		this.current = current;
		this.observed = observed;
		this.transfers = transfers;
		this.nowMs = nowMs;
	}

	/**
	 * Checks a configuration.
	 * @param config the configuration
	 * @return the first violation, or empty if every rule holds
	 */
	Optional<Violation> check(ShareConfig config) {
		return Stream
			.of(checkShare(config), checkServices(config), checkReleases(config), checkClaims(config),
					checkRemovedClaims(config), checkChats(config))
			.flatMap(Optional::stream)
			.findFirst()
			.or(() -> checkItems(config));
	}

	private Optional<Violation> checkShare(ShareConfig config) {
		if (config.share().equals(this.current.share())) {
			return Optional.empty();
		}
		return violation("/share", "is \"%s\" but was sent to share \"%s\"; submit it to its own share", config.share(),
				this.current.share());
	}

	private static Optional<Violation> checkServices(ShareConfig config) {
		return config.services()
			.entrySet()
			.stream()
			.filter((service) -> service.getValue().servers().isEmpty())
			.findFirst()
			.flatMap((service) -> violation("/services/" + service.getKey() + "/servers",
					"is empty; list at least one server or remove the service"));
	}

	private Optional<Violation> checkReleases(ShareConfig config) {
		Set<ItemId> seen = new HashSet<>();
		for (int i = 0; i < config.releases().size(); i++) {
			Release release = config.releases().get(i);
			String pointer = "/releases/" + i;
			ItemId item = new ItemId(release.kind(), release.id());
			if (release.toShare().equals(config.share())) {
				return violation(pointer + "/toShare", "is the releasing share \"%s\"; name the receiving share",
						release.toShare());
			}
			if (!item.isListedIn(config)) {
				return violation(pointer + "/id",
						"is \"%s\" but the share lists no such item; list it or remove" + " the release", release.id());
			}
			if (!seen.add(item)) {
				return violation(pointer + "/id", "is \"%s\", which is released twice; keep one release", release.id());
			}
			String earlierReceiver = this.transfers.releasedTo(item);
			if (earlierReceiver != null && !earlierReceiver.equals(release.toShare())) {
				return violation(pointer + "/toShare",
						"is \"%s\" but the item was released to \"%s\", which may own it; claim it back first",
						release.toShare(), earlierReceiver);
			}
		}
		return Optional.empty();
	}

	private Optional<Violation> checkClaims(ShareConfig config) {
		Set<ItemId> seen = new HashSet<>();
		for (int i = 0; i < config.claims().size(); i++) {
			Claim claim = config.claims().get(i);
			String pointer = "/claims/" + i;
			ItemId item = new ItemId(claim.kind(), claim.id());
			if (!item.isListedIn(config)) {
				return violation(pointer + "/id", "is \"%s\" but the share lists no such item; list it with the claim",
						claim.id());
			}
			if (!seen.add(item)) {
				return violation(pointer + "/id", "is \"%s\", which is claimed twice; keep one claim", claim.id());
			}
			if (config.releases(claim.kind(), claim.id())) {
				return violation(pointer + "/id", "is \"%s\", which is also released; remove the claim or the release",
						claim.id());
			}
			Optional<Violation> refused = this.current.claims().contains(claim) ? Optional.empty()
					: checkReleased(config.share(), claim, pointer);
			if (refused.isPresent()) {
				return refused;
			}
		}
		return Optional.empty();
	}

	private Optional<Violation> checkReleased(String share, Claim claim, String pointer) {
		if (claim.fromShare().equals(share)) {
			return violation(pointer + "/fromShare", "is the claiming share \"%s\"; name the releasing share", share);
		}
		ObservedShare observation = this.observed.get(claim.fromShare());
		ShareConfig from = (observation != null) ? observation.config() : null;
		if (from == null || from.number() < claim.releaseNumber()) {
			return violation(pointer + "/releaseNumber",
					"is %s but share \"%s\" has been observed here at number %s only; wait for the release to arrive"
							+ " and submit again",
					claim.releaseNumber(), claim.fromShare(), (from != null) ? from.number() : "none");
		}
		ItemId item = new ItemId(claim.kind(), claim.id());
		// It is not enough that the other share no longer lists the item: without a
		// release, that share can list it again at any time.
		if (!from.releases().contains(new Release(claim.kind(), claim.id(), share))) {
			return violation(pointer + "/id",
					"is \"%s\", which share \"%s\" has not released to share \"%s\" at number %s; have it released"
							+ " and keep the release until it is claimed",
					claim.id(), claim.fromShare(), share, from.number());
		}
		// Routers identify a transfer by the releasing share and the release number, so
		// the pair of an earlier transfer must not be reused.
		long numberAtRelease = this.transfers.observedNumberAtRelease(item, claim.fromShare());
		if (claim.releaseNumber() <= numberAtRelease) {
			return violation(pointer + "/releaseNumber",
					"is %s but share \"%s\" was at number %s already when \"%s\" was released here; name the number of"
							+ " the new release",
					claim.releaseNumber(), claim.fromShare(), numberAtRelease, claim.id());
		}
		if (observation.epoch(item) <= this.transfers.epoch(item)) {
			return violation(pointer + "/releaseNumber",
					"is %s but that release of \"%s\" was claimed here before (transfer %s, known here %s); wait for a"
							+ " new release",
					claim.releaseNumber(), claim.id(), observation.epoch(item), this.transfers.epoch(item));
		}
		return Optional.empty();
	}

	// A claim on a team makes routers query the releasing share for earlier calls, so it
	// is needed for as long as that share retains records from before the transfer.
	private Optional<Violation> checkRemovedClaims(ShareConfig config) {
		for (Claim claim : this.current.claims()) {
			ItemId item = new ItemId(claim.kind(), claim.id());
			boolean stillOwned = item.isListedIn(config) && !config.releases(claim.kind(), claim.id());
			if (claim.kind() != ItemKind.TEAM || !stillOwned || config.claims().contains(claim)) {
				continue;
			}
			ObservedShare from = this.observed.get(claim.fromShare());
			long retentionS = Math.max(config.policy().keyRetentionS(),
					(from != null) ? from.config().policy().keyRetentionS() : 0);
			long neededUntilMs = this.transfers.claimedAtMs(item) + retentionS * MS_PER_S;
			if (this.nowMs < neededUntilMs) {
				return violation("/claims",
						"lacks the claim on team \"%s\", which is needed for %s more s to find"
								+ " earlier calls; keep it until then",
						claim.id(), (neededUntilMs - this.nowMs) / MS_PER_S);
			}
		}
		return Optional.empty();
	}

	private Optional<Violation> checkChats(ShareConfig config) {
		Set<String> seen = new HashSet<>();
		for (int i = 0; i < config.chats().size(); i++) {
			String prefix = config.chats().get(i).idPrefix();
			String pointer = "/chats/" + i + "/idPrefix";
			if (!seen.add(prefix)) {
				return violation(pointer, "is \"%s\", which is listed twice; keep one rule", prefix);
			}
			for (ShareConfig other : observedConfigs()) {
				if (other.chats().stream().anyMatch((rule) -> rule.idPrefix().equals(prefix))) {
					return violation(pointer, "is \"%s\", which share \"%s\" lists too; have it removed there first",
							prefix, other.share());
				}
			}
		}
		return Optional.empty();
	}

	private Optional<Violation> checkItems(ShareConfig config) {
		return Stream
			.of(checkItems(config, ItemKind.TEAM, "/teams/", List.copyOf(config.teams().keySet())),
					checkItems(config, ItemKind.MODEL_SERVER, "/modelServers/",
							List.copyOf(config.modelServers().keySet())),
					checkItems(config, ItemKind.SERVICE, "/services/", List.copyOf(config.services().keySet())))
			.flatMap(Optional::stream)
			.findFirst();
	}

	private Optional<Violation> checkItems(ShareConfig config, ItemKind kind, String pointer, List<String> ids) {
		for (String id : ids) {
			if (isClaimed(config, kind, id)) {
				continue;
			}
			ItemId item = new ItemId(kind, id);
			String releasedTo = this.transfers.releasedTo(item);
			boolean released = config.releases(kind, id);
			if (releasedTo != null && !released) {
				return violation(pointer + id,
						"was released to share \"%s\", which may own it; keep the release, remove"
								+ " the item, or claim it after that share has released it",
						releasedTo);
			}
			// A release of an item that this share never owned could be claimed although
			// another share owns the item, so it is checked like a newly listed item.
			if (item.isListedIn(this.current) || releasedTo != null) {
				continue;
			}
			for (ShareConfig other : observedConfigs()) {
				if (item.isListedIn(other)) {
					return violation(pointer + id,
							"is listed by share \"%s\" too; have it released there and add a" + " claim",
							other.share());
				}
			}
		}
		return Optional.empty();
	}

	private List<ShareConfig> observedConfigs() {
		return this.observed.values().stream().map(ObservedShare::config).toList();
	}

	private static boolean isClaimed(ShareConfig config, ItemKind kind, String id) {
		return config.claims().stream().anyMatch((claim) -> claim.kind() == kind && claim.id().equals(id));
	}

	private static Optional<Violation> violation(String pointer, String template, Object... arguments) {
		return Optional.of(new Violation(pointer, String.format(template, arguments)));
	}

	/**
	 * A violated rule.
	 *
	 * @param pointer the JSON pointer of the refused value
	 * @param message the refused value and the remedy
	 */
	record Violation(String pointer, String message) {

	}

}
