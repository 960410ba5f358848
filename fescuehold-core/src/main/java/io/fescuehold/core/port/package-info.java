/**
 * Interfaces between decision code and adapters.
 */
package io.fescuehold.core.port;
