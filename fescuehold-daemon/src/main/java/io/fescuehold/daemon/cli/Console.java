package io.fescuehold.daemon.cli;

import java.io.PrintStream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

/**
 * Prints results as JSON to the output and human-readable messages to the error output.
 *
 * @param out the output
 * @param err the error output
 */
record Console(PrintStream out, PrintStream err) {

	private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

	/**
	 * Prints a result.
	 * @param value a value that Jackson can serialise
	 */
	void result(Object value) {
		try {
			this.out.println(MAPPER.writeValueAsString(value));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Failed to serialise the result as JSON", ex);
		}
	}

	/**
	 * Prints JSON text, indented if it can be parsed and unchanged otherwise.
	 * @param json the JSON text
	 */
	void resultText(String json) {
		try {
			result(MAPPER.readTree(json));
		}
		catch (JsonProcessingException ex) {
			this.out.println(json);
		}
	}

	/**
	 * Prints a human-readable message.
	 * @param message the message
	 */
	void message(String message) {
		this.err.println("fescuehold: " + message);
	}

}
