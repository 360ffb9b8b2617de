//! What the tests of all modules share.

pub mod helpers;
