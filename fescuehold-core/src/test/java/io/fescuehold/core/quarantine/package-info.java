/**
 * Tests of the quarantine of prompt parts.
 */
package io.fescuehold.core.quarantine;
