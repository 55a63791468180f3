//! The operators' client and command line against a fake control instance.

mod client;
mod commands;
mod fake_control;
