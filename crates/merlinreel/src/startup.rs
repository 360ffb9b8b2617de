//! Parts of the startup: the listening sockets, the background tasks, the channels for reloads and the status that the admin
//! endpoint reports.

pub mod admin_status;
pub mod background_tasks;
pub mod inherited_listener;
pub mod reload_channels;
pub mod sockets;
