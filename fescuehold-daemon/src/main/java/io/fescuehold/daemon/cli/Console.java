package io.fescuehold.daemon.cli;

import java.io.PrintStream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

/**
 * Prints results as JSON to the output and messages for people to the error output.
 *
 * @param out the output
 * @param err the error output
 */
record Console(PrintStream out, PrintStream err) {

	private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

	/**
	 * Prints a result.
	 * @param value a value that Jackson can write
	 */
	void result(Object value) {
		try {
			this.out.println(MAPPER.writeValueAsString(value));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("A result could not be written as JSON", ex);
		}
	}

	/**
	 * Prints a text that is JSON already; indents it where it can be read.
	 * @param json the text
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
	 * Prints a message for people.
	 * @param message the message
	 */
	void message(String message) {
		this.err.println("fescuehold: " + message);
	}

}
