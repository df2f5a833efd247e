//! Relays between the VMs, and network partitions that block them.
//!
//! A partition drops datagrams and holds back the bytes of connections, without closing or refusing
//! any connection.

use fl_protocol::DataCenterName;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The name of the platform where a partition names a data centre.
pub const PLATFORM: &str = "platform";
const BUFFER_BYTES: usize = 16 * 1024;

/// Bytes relayed since the start in both directions, by purpose; TCP, UDP and IP headers are not
/// counted.
#[derive(Debug, Default)]
pub struct Traffic {
    /// RPC between nodes, over TCP.
    pub peer: AtomicU64,
    /// Membership gossip between nodes, over UDP.
    pub gossip: AtomicU64,
    /// Connections of nodes to the platform.
    pub platform: AtomicU64,
    /// Connections of nodes to backend servers; 0 unless these are relayed.
    pub backend: AtomicU64,
}

/// The kind of endpoint that a TCP relay connects to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayTarget {
    /// A node.
    Peer,
    /// A service of the platform.
    Platform,
    /// A backend server.
    Backend,
}

/// The relays and partitions of one test bed. Clones share them.
#[derive(Clone)]
pub struct Network {
    partitions: watch::Sender<Vec<(String, String)>>,
    data_centers: watch::Sender<Vec<(IpAddr, DataCenterName)>>,
    traffic: Arc<Traffic>,
    cancel: CancellationToken,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            partitions: watch::Sender::new(Vec::new()),
            data_centers: watch::Sender::new(Vec::new()),
            traffic: Arc::default(),
            cancel: CancellationToken::new(),
        }
    }
}

impl Network {
    /// Assigns an IP address to a data centre; partitions apply to connections by it.
    pub fn set_data_center(&self, ip: IpAddr, data_center: &str) {
        self.data_centers
            .send_modify(|data_centers| data_centers.push((ip, data_center.to_string())));
    }

    /// Partitions two data centres, or a data centre and [`PLATFORM`], in both directions.
    pub fn partition(&self, left: &str, right: &str) {
        self.partitions
            .send_modify(|partitions| partitions.push((left.to_string(), right.to_string())));
    }

    /// Returns the counts of bytes relayed.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Ends all partitions.
    pub fn heal(&self) {
        self.partitions.send_modify(Vec::clear);
    }

    /// Relays TCP connections to a target in a data centre. The data centre of the caller follows
    /// from its IP address.
    pub async fn relay_tcp(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        to_data_center: &str,
        target: RelayTarget,
    ) {
        let listener = TcpListener::bind(from).await.unwrap();
        let network = self.clone();
        let to_data_center = to_data_center.to_string();
        tokio::spawn(async move {
            loop {
                let accepted = network.cancel.run_until_cancelled(listener.accept()).await;
                let Some(Ok((stream, address))) = accepted else { return };
                let from_data_center = network.data_center_of(address.ip());
                let connection = network.clone().relay_connection(
                    stream,
                    to,
                    from_data_center,
                    to_data_center.clone(),
                    target,
                );
                tokio::spawn(connection);
            }
        });
    }

    /// Relays TCP connections from one data centre to the platform, over a relay address that only
    /// this data centre uses.
    pub async fn relay_to_platform(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        from_data_center: &str,
    ) {
        let listener = TcpListener::bind(from).await.unwrap();
        let network = self.clone();
        let from_data_center = from_data_center.to_string();
        tokio::spawn(async move {
            loop {
                let accepted = network.cancel.run_until_cancelled(listener.accept()).await;
                let Some(Ok((stream, _))) = accepted else { return };
                let connection = network.clone().relay_connection(
                    stream,
                    to,
                    from_data_center.clone(),
                    PLATFORM.to_string(),
                    RelayTarget::Platform,
                );
                tokio::spawn(connection);
            }
        });
    }

    /// Relays UDP datagrams to a target in a data centre.
    pub async fn relay_udp(&self, from: SocketAddr, to: SocketAddr, to_data_center: &str) {
        let socket = UdpSocket::bind(from).await.unwrap();
        let network = self.clone();
        let to_data_center = to_data_center.to_string();
        tokio::spawn(async move {
            let mut buffer = vec![0; BUFFER_BYTES];
            loop {
                let receiving = socket.recv_from(&mut buffer);
                let received = network.cancel.run_until_cancelled(receiving).await;
                let Some(Ok((size, address))) = received else { return };
                if network.is_open(&network.data_center_of(address.ip()), &to_data_center) {
                    network.traffic.gossip.fetch_add(size as u64, Ordering::Relaxed);
                    let _ = socket.send_to(&buffer[..size], to).await;
                }
            }
        });
    }

    /// Stops all relays and drops their connections.
    pub fn stop(&self) {
        self.cancel.cancel();
    }

    fn byte_counter(&self, target: RelayTarget) -> &AtomicU64 {
        match target {
            RelayTarget::Peer => &self.traffic.peer,
            RelayTarget::Platform => &self.traffic.platform,
            RelayTarget::Backend => &self.traffic.backend,
        }
    }

    fn data_center_of(&self, ip: IpAddr) -> String {
        let data_centers = self.data_centers.borrow();
        let found = data_centers.iter().find(|entry| entry.0 == ip);
        found.map_or_else(String::new, |entry| entry.1.clone())
    }

    fn is_open(&self, left: &str, right: &str) -> bool {
        is_open(&self.partitions.borrow(), left, right)
    }

    /// Relays one connection, once no partition blocks it.
    async fn relay_connection(
        self,
        inbound: TcpStream,
        to: SocketAddr,
        left: String,
        right: String,
        target: RelayTarget,
    ) {
        let mut partitions = self.partitions.subscribe();
        let open = partitions.wait_for(|partitions| is_open(partitions, &left, &right));
        if !matches!(self.cancel.run_until_cancelled(open).await, Some(Ok(_))) {
            return;
        }
        let Ok(outbound) = TcpStream::connect(to).await else { return };
        let _ = inbound.set_nodelay(true);
        let _ = outbound.set_nodelay(true);
        let (inbound_read, inbound_write) = inbound.into_split();
        let (outbound_read, outbound_write) = outbound.into_split();
        let link = Link { left: &left, right: &right, target };
        let forward = self.copy(inbound_read, outbound_write, link);
        let backward = self.copy(outbound_read, inbound_write, link);
        let both = futures::future::join(forward, backward);
        let _ = self.cancel.run_until_cancelled(both).await;
    }

    /// Copies bytes in one direction, and holds them back while a partition blocks the connection.
    async fn copy(
        &self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        link: Link<'_>,
    ) {
        let Link { left, right, target } = link;
        let counter = self.byte_counter(target);
        let mut partitions = self.partitions.subscribe();
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(size) = from.read(&mut buffer).await {
            if partitions.wait_for(|partitions| is_open(partitions, left, right)).await.is_err() {
                break;
            }
            counter.fetch_add(size as u64, Ordering::Relaxed);
            if size == 0 || to.write_all(&buffer[..size]).await.is_err() {
                break;
            }
        }
        let _ = to.shutdown().await;
    }
}

/// The two data centres of a relayed connection and its purpose.
#[derive(Clone, Copy)]
struct Link<'a> {
    left: &'a str,
    right: &'a str,
    target: RelayTarget,
}

fn is_open(partitions: &[(String, String)], left: &str, right: &str) -> bool {
    !partitions
        .iter()
        .any(|ends| (ends.0 == left && ends.1 == right) || (ends.0 == right && ends.1 == left))
}
