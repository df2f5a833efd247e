//! Thread that runs all capnp-rpc objects.

use crate::client::{PeerClient, PeerJob};
use crate::connection_pool::ConnectionPool;
use crate::handshake::{self, FleetKey};
use crate::peer_capnp::peer;
use crate::server::PeerServer;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use fl_kernel::services::PeerRequestHandler;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio_util::compat::{TokioAsyncReadCompatExt as _, TokioAsyncWriteCompatExt as _};
use tokio_util::sync::CancellationToken;

/// Settings of the peer protocol at this node.
pub struct PeerOptions {
    /// Listener for connections from peers.
    pub listener: std::net::TcpListener,
    /// Fleet key that both ends of a connection must hold.
    pub key: FleetKey,
    /// Local IP address of outgoing connections.
    pub bind_ip: IpAddr,
}

/// Starts the thread that serves and calls peers; it stops when `cancel` is cancelled.
pub fn start(
    options: PeerOptions,
    handler: Arc<dyn PeerRequestHandler>,
    cancel: CancellationToken,
) -> std::io::Result<(PeerClient, JoinHandle<()>)> {
    let (tx, rx) = mpsc::unbounded_channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    options.listener.set_nonblocking(true)?;
    let client = PeerClient::new(tx, handler.clone());
    let thread = std::thread::Builder::new().name("peer".to_string()).spawn(move || {
        let local = LocalSet::new();
        local.block_on(&runtime, async move {
            let serve = serve(options, handler, rx);
            let _ = cancel.run_until_cancelled(serve).await;
        });
    })?;
    Ok((client, thread))
}

async fn serve(
    options: PeerOptions,
    handler: Arc<dyn PeerRequestHandler>,
    mut jobs: mpsc::UnboundedReceiver<PeerJob>,
) {
    let Ok(listener) = TcpListener::from_std(options.listener) else { return };
    let pool = ConnectionPool::new(options.key, options.bind_ip);
    loop {
        tokio::select! {
            job = jobs.recv() => match job {
                Some(job) => job(pool.clone()),
                None => return,
            },
            accepted = listener.accept() => {
                if let Ok((stream, address)) = accepted {
                    let serving = serve_peer(stream, address, options.key, handler.clone());
                    tokio::task::spawn_local(serving);
                }
            }
        }
    }
}

async fn serve_peer(
    mut stream: TcpStream,
    address: SocketAddr,
    key: FleetKey,
    handler: Arc<dyn PeerRequestHandler>,
) {
    if let Err(error) = handshake::accept(&mut stream, &key, rand::random()).await {
        handler.record_unauthenticated_peer(address, error.to_string());
        return;
    }
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (read, write) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(read.compat()),
        futures::io::BufWriter::new(write.compat_write()),
        rpc_twoparty_capnp::Side::Server,
        Default::default(),
    );
    let client: peer::Client = capnp_rpc::new_client(PeerServer { handler });
    let _ = RpcSystem::new(Box::new(network), Some(client.client)).await;
}
