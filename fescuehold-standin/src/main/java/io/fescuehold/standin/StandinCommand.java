package io.fescuehold.standin;

import java.util.Map;

/**
 * A subcommand that starts one stand-in.
 */
interface StandinCommand {

	/**
	 * Starts the stand-in.
	 * @return the bound ports by name
	 */
	Map<String, Integer> start();

}
