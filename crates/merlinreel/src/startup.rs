//! The parts of a start: the listening sockets, the background tasks, the channels of a reload and the admin endpoint's
//! status.

pub mod admin_status;
pub mod background_tasks;
pub mod inherited_listener;
pub mod reload_channels;
pub mod sockets;
