mod admission;
mod completion;
mod queue;
mod retry;
mod time_spent;
