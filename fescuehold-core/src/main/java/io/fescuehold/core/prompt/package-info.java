/**
 * Placement of prompts that share parts with earlier ones.
 */
package io.fescuehold.core.prompt;
