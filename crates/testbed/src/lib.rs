//! Testbed.
