package io.fescuehold.config;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Builds the configuration of a share in code, so that operators can generate, review and
 * compare configurations. Equal builder calls print equal bytes. Example: <pre>
 * ShareConfig config = ShareConfigBuilder.share("north")
 *     .number(1)
 *     .team("field", new TeamSpec(3, 0))
 *     .modelServer("clock-1", server)
 *     .build();
 * System.out.print(ConfigJson.print(config));
 * </pre>
 */
public final class ShareConfigBuilder {

	private final String share;

	private long number = 1;

	private PolicySpec policy = PolicySpec.DEFAULT;

	private final TreeMap<String, TeamSpec> teams = new TreeMap<>();

	private final List<ChatRule> chats = new ArrayList<>();

	private final TreeMap<String, ModelServerSpec> modelServers = new TreeMap<>();

	private final TreeMap<String, ServiceSpec> services = new TreeMap<>();

	private final List<Release> releases = new ArrayList<>();

	private final List<Claim> claims = new ArrayList<>();

	private ShareConfigBuilder(String share) {
		this.share = share;
	}

	/**
	 * Starts an empty configuration with number 1.
	 * @param share the name of the share
	 * @return the builder
	 */
	public static ShareConfigBuilder share(String share) {
		return new ShareConfigBuilder(share);
	}

	/**
	 * Starts from an accepted configuration; the number becomes the next one.
	 * @param config the configuration in force
	 * @return the builder
	 */
	public static ShareConfigBuilder next(ShareConfig config) {
		ShareConfigBuilder builder = new ShareConfigBuilder(config.share());
		builder.number = config.number() + 1;
		builder.policy = config.policy();
		builder.teams.putAll(config.teams());
		builder.chats.addAll(config.chats());
		builder.modelServers.putAll(config.modelServers());
		builder.services.putAll(config.services());
		builder.releases.addAll(config.releases());
		builder.claims.addAll(config.claims());
		return builder;
	}

	/**
	 * Sets the number.
	 * @param newNumber one more than the number in force
	 * @return this builder
	 */
	public ShareConfigBuilder number(long newNumber) {
		this.number = newNumber;
		return this;
	}

	/**
	 * Sets the policy.
	 * @param newPolicy the policy
	 * @return this builder
	 */
	public ShareConfigBuilder policy(PolicySpec newPolicy) {
		this.policy = newPolicy;
		return this;
	}

	/**
	 * Adds or replaces a team.
	 * @param id the id of the team
	 * @param team the team
	 * @return this builder
	 */
	public ShareConfigBuilder team(String id, TeamSpec team) {
		this.teams.put(id, team);
		return this;
	}

	/**
	 * Assigns the chats whose id begins with a prefix to this share.
	 * @param idPrefix the prefix
	 * @return this builder
	 */
	public ShareConfigBuilder chats(String idPrefix) {
		this.chats.add(new ChatRule(idPrefix));
		return this;
	}

	/**
	 * Adds or replaces a model server.
	 * @param id the id of the server
	 * @param server the server
	 * @return this builder
	 */
	public ShareConfigBuilder modelServer(String id, ModelServerSpec server) {
		this.modelServers.put(id, server);
		return this;
	}

	/**
	 * Adds or replaces a service.
	 * @param name the name of the service
	 * @param service the service
	 * @return this builder
	 */
	public ShareConfigBuilder service(String name, ServiceSpec service) {
		this.services.put(name, service);
		return this;
	}

	/**
	 * Declares that a backend server is leaving: it receives no new requests and those in
	 * flight complete.
	 * @param serverId the id of a model server or of a service's backend server
	 * @return this builder
	 */
	public ShareConfigBuilder leaving(String serverId) {
		return state(serverId, ServerState.LEAVING);
	}

	/**
	 * Declares the state of a backend server.
	 * @param serverId the id of a model server or of a service's backend server
	 * @param state the state
	 * @return this builder
	 * @throws ConfigException if no such server is listed
	 */
	public ShareConfigBuilder state(String serverId, ServerState state) {
		if (this.modelServers.containsKey(serverId)) {
			this.modelServers.computeIfPresent(serverId, (id, server) -> server.withState(state));
			return this;
		}
		for (String name : this.services.keySet()) {
			ServiceSpec service = this.services.get(name);
			if (service.servers().containsKey(serverId)) {
				TreeMap<String, ServiceServerSpec> servers = new TreeMap<>(service.servers());
				servers.computeIfPresent(serverId, (id, server) -> server.withState(state));
				this.services.put(name, new ServiceSpec(service.timeoutMs(), service.nonIdempotent(), servers));
				return this;
			}
		}
		throw new ConfigException("/modelServers/" + serverId,
				"is not listed in share \"" + this.share + "\"; use the id of a listed backend server");
	}

	/**
	 * Releases an item to another share. The item remains listed until it is removed.
	 * @param kind the kind of the item
	 * @param id the id of the item
	 * @param toShare the share that may claim it
	 * @return this builder
	 */
	public ShareConfigBuilder release(ItemKind kind, String id, String toShare) {
		this.releases.add(new Release(kind, id, toShare));
		return this;
	}

	/**
	 * Takes over a team that another share has released.
	 * @param id the id of the team
	 * @param team the team as it is configured here
	 * @param fromShare the releasing share
	 * @param releaseNumber the number of the configuration that contains the release
	 * @return this builder
	 */
	public ShareConfigBuilder claimTeam(String id, TeamSpec team, String fromShare, long releaseNumber) {
		this.claims.add(new Claim(ItemKind.TEAM, id, fromShare, releaseNumber));
		return team(id, team);
	}

	/**
	 * Takes over a model server that another share has released.
	 * @param id the id of the server
	 * @param server the server as it is configured here
	 * @param fromShare the releasing share
	 * @param releaseNumber the number of the configuration that contains the release
	 * @return this builder
	 */
	public ShareConfigBuilder claimModelServer(String id, ModelServerSpec server, String fromShare,
			long releaseNumber) {
		this.claims.add(new Claim(ItemKind.MODEL_SERVER, id, fromShare, releaseNumber));
		return modelServer(id, server);
	}

	/**
	 * Takes over a service that another share has released.
	 * @param name the name of the service
	 * @param service the service as it is configured here
	 * @param fromShare the releasing share
	 * @param releaseNumber the number of the configuration that contains the release
	 * @return this builder
	 */
	public ShareConfigBuilder claimService(String name, ServiceSpec service, String fromShare, long releaseNumber) {
		this.claims.add(new Claim(ItemKind.SERVICE, name, fromShare, releaseNumber));
		return service(name, service);
	}

	/**
	 * Returns the configuration.
	 * @return the configuration
	 */
	public ShareConfig build() {
		return new ShareConfig(this.share, this.number, this.policy, this.teams, this.chats, this.modelServers,
				this.services, this.releases, this.claims);
	}

}
