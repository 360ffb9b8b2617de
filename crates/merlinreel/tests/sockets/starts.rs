//! Limiters that start or start again while discovery is down or their descriptors are taken.
