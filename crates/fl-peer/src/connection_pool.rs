//! Pool of outgoing connections, one per peer, each kept until a call on it fails.

use crate::handshake::{self, FleetKey, HandshakeError};
use crate::peer_capnp::peer;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use fl_kernel::services::PeerError;
use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::compat::{TokioAsyncReadCompatExt as _, TokioAsyncWriteCompatExt as _};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// An open connection; `generation` distinguishes it from later connections to the same address.
struct Connection {
    address: SocketAddr,
    generation: u64,
    client: peer::Client,
}

/// A connection from the pool, to use for one call.
pub struct PooledConnection {
    pub client: peer::Client,
    pub generation: u64,
    /// Whether the connection was opened for an earlier call. It may have been lost unnoticed
    /// since, so a call that fails on it is retried on a new one.
    pub reused: bool,
}

/// Open outgoing connections of this node, sorted by address.
pub struct ConnectionPool {
    key: FleetKey,
    bind_ip: IpAddr,
    next_generation: RefCell<u64>,
    open: RefCell<Vec<Connection>>,
}

impl ConnectionPool {
    pub fn new(key: FleetKey, bind_ip: IpAddr) -> Rc<Self> {
        let next_generation = RefCell::new(1);
        Rc::new(ConnectionPool { key, bind_ip, next_generation, open: RefCell::new(Vec::new()) })
    }

    /// Returns the open connection to a peer, or opens one.
    pub async fn get(&self, address: SocketAddr) -> Result<PooledConnection, PeerError> {
        if let Some(connection) = self.find(address) {
            return Ok(connection);
        }
        let stream = self.connect(address).await?;
        Ok(self.insert(address, stream))
    }

    /// Removes a connection on which a call failed, so that the next call opens a new one.
    ///
    /// A connection that was opened since has another generation and stays.
    pub fn discard(&self, address: SocketAddr, generation: u64) {
        let mut open = self.open.borrow_mut();
        open.retain(|entry| entry.address != address || entry.generation != generation);
    }

    fn find(&self, address: SocketAddr) -> Option<PooledConnection> {
        let open = self.open.borrow();
        let index = open.binary_search_by_key(&address, |entry| entry.address).ok()?;
        let entry = open.get(index)?;
        Some(PooledConnection {
            client: entry.client.clone(),
            generation: entry.generation,
            reused: true,
        })
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, PeerError> {
        let unreachable = |_| PeerError::Unreachable(address.to_string());
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        }
        .map_err(unreachable)?;
        socket.bind(SocketAddr::new(self.bind_ip, 0)).map_err(unreachable)?;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address)).await;
        let mut stream = connecting
            .map_err(|_| PeerError::TimedOut(address.to_string()))?
            .map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        handshake::connect(&mut stream, &self.key, rand::random()).await.map_err(|error| {
            match error {
                HandshakeError::WrongKey => PeerError::Unauthenticated(address.to_string()),
                HandshakeError::TimedOut => PeerError::TimedOut(address.to_string()),
                _ => PeerError::Unreachable(address.to_string()),
            }
        })?;
        Ok(stream)
    }

    fn insert(&self, address: SocketAddr, stream: TcpStream) -> PooledConnection {
        let (read, write) = stream.into_split();
        let network = twoparty::VatNetwork::new(
            futures::io::BufReader::new(read.compat()),
            futures::io::BufWriter::new(write.compat_write()),
            rpc_twoparty_capnp::Side::Client,
            Default::default(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        tokio::task::spawn_local(system);
        let generation = self.next_generation.replace_with(|next| *next + 1);
        let mut open = self.open.borrow_mut();
        open.retain(|entry| entry.address != address);
        let index = open.partition_point(|entry| entry.address < address);
        open.insert(index, Connection { address, generation, client: client.clone() });
        PooledConnection { client, generation, reused: false }
    }
}
