/**
 * The administration API of a daemon.
 */
package io.fescuehold.runtime.admin;
