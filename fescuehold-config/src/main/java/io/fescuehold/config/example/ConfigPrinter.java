package io.fescuehold.config.example;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Writes configurations to standard output in UTF-8, regardless of the default encoding.
 */
final class ConfigPrinter {

	private ConfigPrinter() {
	}

	/**
	 * Writes a text.
	 * @param text the text
	 */
	static void print(String text) {
		try {
			System.out.write(text.getBytes(StandardCharsets.UTF_8));
			System.out.flush();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
