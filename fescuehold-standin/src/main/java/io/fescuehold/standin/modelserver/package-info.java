/**
 * Stand-in for a model server with continuous batching and a prefix cache.
 */
package io.fescuehold.standin.modelserver;
