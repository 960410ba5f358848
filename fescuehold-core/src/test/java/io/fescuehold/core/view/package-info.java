/**
 * Tests of the views that routers derive.
 */
package io.fescuehold.core.view;
