package io.fescuehold.runtime.orders;

/**
 * The result of an order that the model server has executed.
 *
 * @param serverId the model server
 * @param fencingNumber the fencing number that the order carried
 */
public record OrderResult(String serverId, long fencingNumber) {

}
