package io.fescuehold.it.request;

import java.nio.file.Path;

import io.fescuehold.client.FescueholdClient;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Base class of tests that share one fleet. After each test, all faults are removed and
 * stopped processes are started again.
 */
abstract class AbstractRequestTests {

	@TempDir
	private static Path folder;

	/** The fleet that all tests of the class share. */
	protected static RequestFleet fleet;

	/** A client of {@link RequestFleet#TEAM}, created for each test. */
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
