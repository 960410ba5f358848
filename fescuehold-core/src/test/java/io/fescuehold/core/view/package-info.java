/**
 * Tests of the package of the same name.
 */
package io.fescuehold.core.view;
