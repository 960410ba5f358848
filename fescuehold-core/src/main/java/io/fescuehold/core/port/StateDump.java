package io.fescuehold.core.port;

/**
 * A component that contributes a section to the state dump.
 */
public interface StateDump {

	/**
	 * Returns the name of the component's section in the dump.
	 * @return the name
	 */
	String dumpName();

	/**
	 * Returns the state.
	 * @return an object that Jackson can write as JSON, of bounded size
	 */
	Object dump();

}
