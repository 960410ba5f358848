/**
 * Attribution of server crashes to prompt parts, and the quarantine of these parts.
 */
package io.fescuehold.core.quarantine;
