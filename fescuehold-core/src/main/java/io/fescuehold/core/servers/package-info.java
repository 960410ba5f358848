/**
 * The backend servers that the platform lists, their load and their health as seen from
 * this daemon.
 */
package io.fescuehold.core.servers;
