/**
 * Stand-in for a plain HTTP service that logs each execution.
 */
package io.fescuehold.standin.service;
