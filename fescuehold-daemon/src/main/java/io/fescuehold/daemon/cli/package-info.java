/**
 * The command line: one class per command.
 */
package io.fescuehold.daemon.cli;
