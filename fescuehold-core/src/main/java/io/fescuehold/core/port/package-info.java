/**
 * Interfaces between the decision logic and the adapters to the environment.
 */
package io.fescuehold.core.port;
