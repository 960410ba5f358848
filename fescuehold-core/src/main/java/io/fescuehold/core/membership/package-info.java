/**
 * The hosts of a fleet that are discovered while it runs, and which of them replicate.
 */
package io.fescuehold.core.membership;
