/**
 * The software version that began each stream. A stream continues only at servers of that
 * version, because what two versions write does not fit together.
 */
package io.fescuehold.core.streamversion;
