/**
 * Attribution of server crashes to requests and prompt parts, and their quarantine.
 */
package io.fescuehold.core.quarantine;
