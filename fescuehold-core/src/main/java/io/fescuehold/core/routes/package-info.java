/**
 * Routes by host name and path, the services behind them and the keys of teams.
 */
package io.fescuehold.core.routes;
