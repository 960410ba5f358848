/**
 * The control plane: the replicated state as seen by clients and the distribution of
 * configurations to all daemons.
 */
package io.fescuehold.runtime.control;
