package io.fescuehold.config;

/**
 * Takes over an item that another share has released. A claim takes effect only where the
 * configuration of the releasing share is known at or above the given number.
 *
 * @param kind the kind of the item
 * @param id the id of the item
 * @param fromShare the share that released the item
 * @param releaseNumber the number of the configuration that contains the release
 */
public record Claim(ItemKind kind, String id, String fromShare, long releaseNumber) {

	public Claim {
		Checks.required("kind", kind);
		Checks.name("id", id);
		Checks.name("fromShare", fromShare);
		Checks.inRange("releaseNumber", releaseNumber, 1, Long.MAX_VALUE);
	}

}
