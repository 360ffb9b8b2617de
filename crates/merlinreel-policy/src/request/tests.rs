mod admission;
mod completion;
mod queue;
mod response_forwarding;
mod retry;
mod time_spent;
