package io.fescuehold.core.state;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;

/**
 * The difference between two configurations of a share. The fields of a configuration
 * that are objects are compared entry by entry, so that a change of one server contains
 * that server only; lists and scalar values are replaced as a whole.
 *
 * @param share the name of the share
 * @param fromNumber the number of the configuration that the difference applies to
 * @param number the number of the configuration that results
 * @param digest the digest of the configuration that results
 * @param changed the JSON of changed and added entries by JSON pointer
 * @param removed the JSON pointers of removed entries
 */
public record ShareDelta(String share, long fromNumber, long number, String digest, SortedMap<String, String> changed,
		List<String> removed) {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	/**
	 * Returns the difference between two configurations.
	 * @param from the earlier configuration
	 * @param to the later configuration of the same share
	 * @return the difference
	 */
	public static ShareDelta between(ShareConfig from, ShareConfig to) {
		SortedMap<String, String> changed = new TreeMap<>();
		List<String> removed = new ArrayList<>();
		JsonNode toTree = tree(to);
		JsonNode fromTree = tree(from);
		for (Map.Entry<String, JsonNode> field : toTree.properties()) {
			JsonNode before = fromTree.get(field.getKey());
			String pointer = "/" + field.getKey();
			if (before instanceof ObjectNode earlier && field.getValue() instanceof ObjectNode later) {
				compare(pointer + "/", earlier, later, changed, removed);
			}
			else if (!field.getValue().equals(before)) {
				changed.put(pointer, field.getValue().toString());
			}
		}
		return new ShareDelta(to.share(), from.number(), to.number(), ConfigJson.digest(to), changed, removed);
	}

	private static void compare(String prefix, ObjectNode from, ObjectNode to, SortedMap<String, String> changed,
			List<String> removed) {
		to.properties().forEach((entry) -> {
			if (!entry.getValue().equals(from.get(entry.getKey()))) {
				changed.put(prefix + entry.getKey(), entry.getValue().toString());
			}
		});
		for (Iterator<String> names = from.fieldNames(); names.hasNext();) {
			String name = names.next();
			if (!to.has(name)) {
				removed.add(prefix + name);
			}
		}
	}

	/**
	 * Applies the difference to a configuration.
	 * @param from the configuration that it applies to
	 * @return the configuration that results
	 * @throws IllegalArgumentException if the configuration has another share or number,
	 * or the result another digest
	 */
	public ShareConfig applyTo(ShareConfig from) {
		if (!from.share().equals(this.share) || from.number() != this.fromNumber) {
			throw new IllegalArgumentException("A delta of share " + this.share + " from number " + this.fromNumber
					+ " was applied to share " + from.share() + " at number " + from.number());
		}
		ObjectNode tree = tree(from);
		this.removed.forEach((pointer) -> parent(tree, pointer).remove(lastSegment(pointer)));
		this.changed.forEach((pointer, json) -> parent(tree, pointer).set(lastSegment(pointer), read(json)));
		ShareConfig result = ConfigJson.read(tree.toString());
		String resultDigest = ConfigJson.digest(result);
		if (!resultDigest.equals(this.digest)) {
			throw new IllegalArgumentException("A delta of share " + this.share + " to number " + this.number
					+ " resulted in digest " + resultDigest + " instead of " + this.digest);
		}
		return result;
	}

	private static ObjectNode parent(ObjectNode tree, String pointer) {
		int end = pointer.lastIndexOf('/');
		return (end == 0) ? tree : (ObjectNode) tree.get(pointer.substring(1, end));
	}

	private static String lastSegment(String pointer) {
		return pointer.substring(pointer.lastIndexOf('/') + 1);
	}

	private static ObjectNode tree(ShareConfig config) {
		try {
			return (ObjectNode) MAPPER.readTree(ConfigJson.canonicalBytes(config));
		}
		catch (IOException ex) {
			throw new IllegalStateException("The canonical JSON of a configuration could not be parsed", ex);
		}
	}

	private static JsonNode read(String json) {
		try {
			return MAPPER.readTree(json);
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("An entry of a delta is not valid JSON", ex);
		}
	}

}
