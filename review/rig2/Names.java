package review2.rig;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The names of headers, paths and fields on the wire, from names.properties. */
public final class Names {

	private static final Properties NAMES = load();

	/** The header with the id of a client's attempt. */
	public static final String ID = NAMES.getProperty("id");

	/** The header that a server adds to its answers. */
	public static final String STAMP = NAMES.getProperty("stamp");

	/** The header with the id of the server that is to run the request. */
	public static final String EXPECTED_INSTANCE = NAMES.getProperty("expected-instance");

	/** The header of an answer which states that the request has not run. */
	public static final String NOT_RUN = NAMES.getProperty("not-run");

	/** The header with the number of tokens. */
	public static final String TOKENS = NAMES.getProperty("tokens");

	/** The header with the parts of the prompt. */
	public static final String PROMPT_PARTS = NAMES.getProperty("prompt-parts");

	/** The path at which a configuration is submitted. */
	public static final String SUBMIT_PATH = NAMES.getProperty("submit-path");

	/** The path at which the configuration is read. */
	public static final String READ_PATH = NAMES.getProperty("read-path");

	/** The field of a route with its prefix. */
	public static final String PREFIX_FIELD = NAMES.getProperty("prefix-field");

	/** The field of a route with its kind. */
	public static final String KIND_FIELD = NAMES.getProperty("kind-field");

	/** The field of a tenant with its keys. */
	public static final String KEYS_FIELD = NAMES.getProperty("keys-field");

	private Names() {
	}

	private static Properties load() {
		Properties names = new Properties();
		try (InputStream in = Names.class.getResourceAsStream("names.properties")) {
			names.load(in);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return names;
	}

}
