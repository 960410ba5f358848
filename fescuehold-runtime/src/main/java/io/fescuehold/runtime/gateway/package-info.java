/**
 * HTTP gateway that forwards requests to the services of their routes and returns the
 * responses, with bodies unchanged byte for byte, within the limits of the routes.
 */
package io.fescuehold.runtime.gateway;
