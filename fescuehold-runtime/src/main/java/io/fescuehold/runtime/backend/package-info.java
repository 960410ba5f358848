/**
 * HTTP client side of the backend servers: connections, protocols and failures.
 */
package io.fescuehold.runtime.backend;
