package rig;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The names of headers, paths and fields on the wire. */
public final class Wire {

	private static final Properties NAMES = load();

	/** The header with the id of a client's attempt. */
	public static final String REQUEST_ID = get("request-id");

	/** The header that a server adds to what it answers. */
	public static final String STAMP = get("stamp");

	/** The header of an answer which states that the server did not run the request. */
	public static final String NOT_RUN = get("not-run");

	private Wire() {
	}

	private static Properties load() {
		Properties names = new Properties();
		try (InputStream in = Wire.class.getResourceAsStream("wire.properties")) {
			names.load(in);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return names;
	}

	/** Returns the name, or the format, under a key of wire.properties. */
	public static String get(String key) {
		return NAMES.getProperty(key);
	}

}
