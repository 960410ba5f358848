/**
 * The HTTP path from callers to backend servers.
 */
package io.fescuehold.runtime.http;
