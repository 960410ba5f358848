/**
 * Budgets for retried and hedged requests.
 */
package io.fescuehold.core.retry;
