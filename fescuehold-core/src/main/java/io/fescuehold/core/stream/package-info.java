/**
 * Decisions about streamed responses: positions and stalls.
 */
package io.fescuehold.core.stream;
