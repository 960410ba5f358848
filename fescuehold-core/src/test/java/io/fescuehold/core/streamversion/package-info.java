/**
 * Tests of the records of the software versions that began streams.
 */
package io.fescuehold.core.streamversion;
