//! Library of the daemons and of the operators' command line.

pub mod storage;
