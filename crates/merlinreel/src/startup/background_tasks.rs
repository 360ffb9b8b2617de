//! Tasks that run in addition to the event loop and the client listener.

use super::admin_status::GatewayStatus;
use super::sockets::bind_admin;
use crate::config::GatewayConfig;
use crate::mesh::{MeshConfig, reload_keys};
use crate::messages::{Event, Queue};
use crate::peers::PeerSocket;
use crate::{admin, endpoints};
use merlinreel_mesh::runtime::Mesh;
use merlinreel_settings::Settings;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

/// Tasks that run until they are aborted.
#[derive(Default)]
pub struct BackgroundTasks(Vec<JoinHandle<()>>);

impl BackgroundTasks {
    /// Watches the endpoint list at discovery. `version` is that of the cached list, `None` if there is none. The receiver is
    /// notified after the first response, once its update, if it has changes, is in the queue.
    pub fn watch_endpoints(
        &mut self,
        config: &GatewayConfig,
        discovery: watch::Receiver<SocketAddr>,
        version: Option<u64>,
        queue: &Queue,
    ) -> oneshot::Receiver<()> {
        let (first_list_sender, first_list) = oneshot::channel();
        let watch = endpoints::watch(
            discovery,
            version,
            config.limits.clone(),
            queue.clone(),
            first_list_sender,
        );
        self.0.push(tokio::spawn(watch));
        first_list
    }

    /// Passes received peer messages on to the event loop.
    pub fn receive_peer_messages(&mut self, peer_socket: &Option<PeerSocket>, queue: &Queue) {
        if let Some(peer_socket) = peer_socket.clone() {
            self.0
                .push(tokio::spawn(peer_socket.receive(queue.clone())));
        }
    }

    /// Passes reloaded settings on to the event loop.
    pub fn forward_settings(&mut self, mut settings: watch::Receiver<Settings>, queue: &Queue) {
        let queue = queue.clone();
        self.0.push(tokio::spawn(async move {
            while settings.changed().await.is_ok() {
                let settings = settings.borrow_and_update().clone();
                let event = Event::Reconfigure(Box::new(settings));
                if queue.send(event).await.is_err() {
                    return;
                }
            }
        }));
    }

    /// Passes reloaded keys on to the mesh, if this limiter is a member.
    pub fn reload_mesh_keys(
        &mut self,
        section: watch::Receiver<Option<MeshConfig>>,
        mesh: Option<Mesh>,
    ) {
        if let Some(mesh) = mesh {
            self.0.push(tokio::spawn(reload_keys(mesh, section)));
        }
    }

    /// Serves the admin endpoint, if its address is configured.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn serve_admin(
        &mut self,
        config: &GatewayConfig,
        status: GatewayStatus,
    ) -> io::Result<()> {
        let Some(address) = config.admin else {
            return Ok(());
        };
        let listener = bind_admin(address, config.limits.listener.bind_timeout).await?;
        let serving = admin::serve(listener, config.limits.clone(), Arc::new(status));
        self.0.push(tokio::spawn(serving));
        Ok(())
    }

    /// Aborts all tasks, in the order in which they were started.
    pub fn abort(&self) {
        for task in &self.0 {
            task.abort();
        }
    }
}
