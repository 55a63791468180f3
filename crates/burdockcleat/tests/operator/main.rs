//! The operators' client and command line against a fake control instance.

mod client;
mod commands;
mod console;
mod fake_control;
