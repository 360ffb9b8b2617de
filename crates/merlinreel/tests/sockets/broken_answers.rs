//! Servers whose answers break off at each step, for each class's effect.
