/**
 * The view that routers derive from the accepted configurations of all shares.
 */
package io.fescuehold.core.view;
