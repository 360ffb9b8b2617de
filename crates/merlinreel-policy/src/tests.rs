//! Code shared by the tests of all modules.

pub mod helpers;
