/**
 * Settings of a daemon and their checks.
 */
package io.fescuehold.daemon.settings;
