//! Tests of the operator API client, command line and web console against a fake control instance.

mod client;
mod commands;
mod console;
mod fake_control;
