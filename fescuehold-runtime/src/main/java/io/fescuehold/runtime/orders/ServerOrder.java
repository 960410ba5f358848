package io.fescuehold.runtime.orders;

import java.util.Set;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;

/**
 * An order to a model server. Orders are idempotent.
 *
 * @param serverId the model server
 * @param kind {@code loadModel}, {@code loadAdapter}, {@code loadVersion} or
 * {@code changeRole}
 * @param name the model, adapter, version or role
 */
public record ServerOrder(String serverId, String kind, String name) {

	private static final Set<String> KINDS = Set.of("loadModel", "loadAdapter", "loadVersion", "changeRole");

	public ServerOrder {
		requireNotBlank("/serverId", serverId);
		requireNotBlank("/name", name);
		if (kind == null || !KINDS.contains(kind)) {
			throw new FescueholdException(ErrorCode.BAD_REQUEST, "/kind", "it is \"" + kind + "\"",
					"use one of " + KINDS.stream().sorted().toList());
		}
	}

	private static void requireNotBlank(String pointer, String value) {
		if (value == null || value.isBlank()) {
			throw new FescueholdException(ErrorCode.BAD_REQUEST, pointer, "it is missing", "add it");
		}
	}

}
