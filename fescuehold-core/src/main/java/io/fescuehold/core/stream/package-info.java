/**
 * Processing of streamed responses: event boundaries, positions and stall detection.
 */
package io.fescuehold.core.stream;
