/**
 * The choice of a model server for a request.
 */
package io.fescuehold.core.placement;
