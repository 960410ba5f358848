/**
 * Interfaces of the HTTP path to the decisions on admission, retries and entry.
 */
package io.fescuehold.runtime.http.port;
