/**
 * Error codes and the exception that carries them.
 */
package io.fescuehold.core.error;
