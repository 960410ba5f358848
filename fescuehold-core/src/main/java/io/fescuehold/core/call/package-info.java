/**
 * Decisions about calls that run at most once.
 */
package io.fescuehold.core.call;
