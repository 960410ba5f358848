package io.fescuehold.config;

/**
 * Releases an item to another share. The item remains listed in the releasing share until
 * its operators remove it, but has no owner until it is claimed.
 *
 * @param kind the kind of the item
 * @param id the id of the item
 * @param toShare the share that may claim the item
 */
public record Release(ItemKind kind, String id, String toShare) {

	public Release {
		Checks.required("kind", kind);
		Checks.name("id", id);
		Checks.name("toShare", toShare);
	}

}
