package io.fescuehold.it.request;

import java.nio.file.Path;

import io.fescuehold.client.FescueholdClient;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * A fleet that the tests of one class share and that is healed after each test.
 */
abstract class AbstractRequestTests {

	@TempDir
	private static Path folder;

	/** The fleet of the class. */
	protected static RequestFleet fleet;

	/** A client of the usual team. */
	protected FescueholdClient client;

	@BeforeAll
	static void startFleet() {
		fleet = RequestFleet.start(folder);
	}

	@AfterAll
	static void endFleet() {
		fleet.close();
	}

	@BeforeEach
	void createClient() {
		this.client = fleet.client(RequestFleet.TEAM);
	}

	@AfterEach
	void heal() {
		this.client.close();
		fleet.heal();
	}

}
