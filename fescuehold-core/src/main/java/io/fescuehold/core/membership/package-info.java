/**
 * Discovery of the hosts of a fleet at run time and selection of the voters among them.
 */
package io.fescuehold.core.membership;
