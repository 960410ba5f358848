/**
 * Integration tests with real processes, architecture tests and page checks.
 */
package io.fescuehold.it;
