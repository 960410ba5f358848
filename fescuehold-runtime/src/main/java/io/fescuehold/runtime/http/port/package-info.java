/**
 * Interfaces through which the HTTP server uses admission control, the retry budget, the
 * selection of entry addresses and the handover of streams between routers.
 */
package io.fescuehold.runtime.http.port;
