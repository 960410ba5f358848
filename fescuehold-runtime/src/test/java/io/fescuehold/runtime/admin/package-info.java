/**
 * Tests of the administration API.
 */
package io.fescuehold.runtime.admin;
