/**
 * HTTP clients for backend servers: connection pools, protocols and failures.
 */
package io.fescuehold.runtime.backend;
