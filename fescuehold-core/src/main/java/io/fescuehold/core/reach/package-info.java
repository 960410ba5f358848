/**
 * Links to servers that only this host has lost.
 */
package io.fescuehold.core.reach;
