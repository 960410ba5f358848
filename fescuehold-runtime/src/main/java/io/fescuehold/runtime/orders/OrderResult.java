package io.fescuehold.runtime.orders;

/**
 * An order that was carried out.
 *
 * @param serverId the model server
 * @param fencingNumber the number that the order carried
 */
public record OrderResult(String serverId, long fencingNumber) {

}
