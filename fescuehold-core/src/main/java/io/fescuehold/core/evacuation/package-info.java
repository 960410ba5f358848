/**
 * Orders of operators to send nothing more to the servers of a failure domain.
 */
package io.fescuehold.core.evacuation;
