/**
 * Loopback HTTP servers and JSON helpers shared by the stand-ins.
 */
package io.fescuehold.standin.http;
