package io.fescuehold.config;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The whole configuration of one share, as submitted under a number.
 *
 * @param share the name of the share
 * @param number the number of this configuration; one more than the number in force when
 * it is submitted
 * @param policy the limits and timing of the share
 * @param teams the teams by id
 * @param chats the chats that belong to the share regardless of their team
 * @param modelServers the model servers by id
 * @param services the plain services by name
 * @param releases the items released to another share
 * @param claims the items claimed from another share
 */
public record ShareConfig(String share, long number, PolicySpec policy, SortedMap<String, TeamSpec> teams,
		List<ChatRule> chats, SortedMap<String, ModelServerSpec> modelServers, SortedMap<String, ServiceSpec> services,
		List<Release> releases, List<Claim> claims) {

	public ShareConfig {
		Checks.name("share", share);
		Checks.inRange("number", number, 0, Long.MAX_VALUE);
		policy = (policy != null) ? policy : PolicySpec.DEFAULT;
		teams = copy("teams", teams);
		chats = copy(chats);
		modelServers = copy("modelServers", modelServers);
		services = copy("services", services);
		releases = copy(releases);
		claims = copy(claims);
	}

	/**
	 * Returns the configuration that a share has before its first submission.
	 * @param share the name of the share
	 * @return a configuration with number 0 and no content
	 */
	public static ShareConfig empty(String share) {
		return new ShareConfig(share, 0, null, null, null, null, null, null, null);
	}

	private static <V> SortedMap<String, V> copy(String field, SortedMap<String, V> map) {
		TreeMap<String, V> copy = (map != null) ? new TreeMap<>(map) : new TreeMap<>();
		copy.keySet().forEach((id) -> Checks.name(field, id));
		return Collections.unmodifiableSortedMap(copy);
	}

	private static <V> List<V> copy(List<V> list) {
		return (list != null) ? List.copyOf(list) : List.of();
	}

	/**
	 * Returns whether the configuration releases an item to another share.
	 * @param kind the kind of the item
	 * @param id the id of the item
	 * @return whether a release names the item
	 */
	public boolean releases(ItemKind kind, String id) {
		return this.releases.stream().anyMatch((release) -> release.kind() == kind && release.id().equals(id));
	}

}
