package io.fescuehold.bench.quickstart;

import java.util.Arrays;
import java.util.List;

import io.fescuehold.config.ShareConfig;
import io.fescuehold.config.example.FijiExample;
import io.fescuehold.config.example.TaraweraExample;

/**
 * The example deployments that the quick start can run.
 */
enum Deployment {

	/** Clock repair: twelve model servers and three depot job servers. */
	TARAWERA(TaraweraExample.config(), "/parts-orders", List.of("field-rail", "field-council", "depot-1")),

	/** Lighthouse stays: six model servers and three booking and lookup servers. */
	FIJI(FijiExample.config(), "/bookings", List.of("guests", "boatmen", "village-1"));

	private final ShareConfig config;

	private final String nonIdempotentPath;

	private final List<String> teams;

	Deployment(ShareConfig config, String nonIdempotentPath, List<String> teams) {
		this.config = config;
		this.nonIdempotentPath = nonIdempotentPath;
		this.teams = teams;
	}

	/**
	 * Finds a deployment by its name, ignoring case.
	 * @param name the name
	 * @return the deployment
	 * @throws IllegalArgumentException if there is no such deployment
	 */
	static Deployment named(String name) {
		return Arrays.stream(values())
			.filter((deployment) -> deployment.name().equalsIgnoreCase(name))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException(
					"Deployment \"" + name + "\" does not exist; use tarawera or fiji"));
	}

	/**
	 * Returns the first configuration of the share.
	 * @return the configuration
	 */
	ShareConfig config() {
		return this.config;
	}

	/**
	 * Returns the path of calls that run at most once.
	 * @return the path below the service
	 */
	String nonIdempotentPath() {
		return this.nonIdempotentPath;
	}

	/**
	 * Returns the teams that send requests.
	 * @return the ids of the teams
	 */
	List<String> teams() {
		return this.teams;
	}

	/**
	 * Returns the name of the only service.
	 * @return the service
	 */
	String service() {
		return this.config.services().firstKey();
	}

	/**
	 * Returns the name of the only model.
	 * @return the model
	 */
	String model() {
		return this.config.modelServers().get(this.config.modelServers().firstKey()).models().getFirst();
	}

}
