package io.fescuehold.runtime.transport;

import java.lang.reflect.Modifier;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.fescuehold.core.port.PeerMessage;

/**
 * The registry of message types. A type's name on the wire is the name of its group
 * followed by its own; its group is the sealed interface that it implements.
 */
final class MessageTypes {

	private final Map<String, Class<? extends PeerMessage>> typesByName = new ConcurrentHashMap<>();

	private final Map<Class<?>, TypeName> namesByType = new ConcurrentHashMap<>();

	/**
	 * Registers the group of a type, or the type itself if it belongs to no group.
	 * @param type a sealed interface or a record
	 */
	void register(Class<? extends PeerMessage> type) {
		if (this.namesByType.containsKey(type)) {
			return;
		}
		Class<?> group = groupOf(type);
		if (group == null) {
			add(type, new TypeName("other", type.getSimpleName()));
			return;
		}
		for (Class<?> record : SealedTypeIntrospector.records(group)) {
			if (!Modifier.isAbstract(record.getModifiers())) {
				add(record.asSubclass(PeerMessage.class),
						new TypeName(group.getSimpleName(), group.getSimpleName() + "." + record.getSimpleName()));
			}
		}
	}

	private static Class<?> groupOf(Class<?> type) {
		if (type.isInterface() && type.isSealed()) {
			return type;
		}
		for (Class<?> parent : type.getInterfaces()) {
			if (parent.isSealed() && PeerMessage.class.isAssignableFrom(parent)) {
				return parent;
			}
		}
		return null;
	}

	private void add(Class<? extends PeerMessage> type, TypeName name) {
		Class<? extends PeerMessage> other = this.typesByName.putIfAbsent(name.wireName(), type);
		if (other != null && other != type) {
			throw new IllegalArgumentException("Message types " + other.getName() + " and " + type.getName()
					+ " share the name " + name.wireName() + "; rename one");
		}
		this.namesByType.put(type, name);
	}

	/**
	 * Returns the name of a type, which is registered if needed.
	 * @param type the type
	 * @return the name
	 */
	TypeName nameOf(Class<? extends PeerMessage> type) {
		TypeName name = this.namesByType.get(type);
		if (name == null) {
			register(type);
			name = this.namesByType.get(type);
		}
		return name;
	}

	/**
	 * Returns the type of a name.
	 * @param wireName the name on the wire
	 * @return the type, or null if it is not registered
	 */
	Class<? extends PeerMessage> typeOf(String wireName) {
		return this.typesByName.get(wireName);
	}

	/**
	 * The name of a message type.
	 *
	 * @param group the group, for counters
	 * @param wireName the name on the wire
	 */
	record TypeName(String group, String wireName) {

	}

}
