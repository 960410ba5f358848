/**
 * The daemon program: wiring of the adapters according to the settings.
 */
package io.fescuehold.daemon;
