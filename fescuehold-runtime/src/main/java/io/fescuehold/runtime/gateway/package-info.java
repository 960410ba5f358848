/**
 * The gateway: passes requests on by route, byte for byte, within the routes' promises.
 */
package io.fescuehold.runtime.gateway;
