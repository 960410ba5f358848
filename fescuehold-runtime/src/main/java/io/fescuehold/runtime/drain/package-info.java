/**
 * Migration of KV caches from backend servers that are leaving.
 */
package io.fescuehold.runtime.drain;
