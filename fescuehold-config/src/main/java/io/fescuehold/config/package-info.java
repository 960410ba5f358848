/**
 * Library for operators: the records of a share's configuration, their validation,
 * canonical printing and JSON Schema.
 */
package io.fescuehold.config;
