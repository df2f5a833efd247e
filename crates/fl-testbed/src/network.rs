//! Relays that stand between the VMs, and the cuts that silence them.
//!
//! A cut link loses everything without a word, as a partition does: connections stay open and bring
//! nothing.

use fl_protocol::DataCenterName;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The name of the platform as an end of links.
pub const PLATFORM: &str = "platform";
const BUFFER_BYTES: usize = 16 * 1024;

/// Bytes carried since the start, by what they are for, both ways, without the headers below TCP
/// and UDP.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Between nodes over TCP.
    pub peer: AtomicU64,
    /// Between nodes over UDP.
    pub gossip: AtomicU64,
    /// Between nodes and the platform.
    pub platform: AtomicU64,
    /// Between nodes and backend servers, where they are relayed.
    pub backend: AtomicU64,
}

/// What a relay of TCP connections leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayTarget {
    /// A node.
    Peer,
    /// A service of the platform.
    Platform,
    /// A backend server.
    Backend,
}

/// The links of one testbed.
#[derive(Clone)]
pub struct Network {
    cuts: watch::Sender<Vec<(String, String)>>,
    places: watch::Sender<Vec<(IpAddr, DataCenterName)>>,
    traffic: Arc<Traffic>,
    cancel: CancellationToken,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            cuts: watch::Sender::new(Vec::new()),
            places: watch::Sender::new(Vec::new()),
            traffic: Arc::default(),
            cancel: CancellationToken::new(),
        }
    }
}

impl Network {
    /// Says in which data centre an address is.
    pub fn set_data_center(&self, ip: IpAddr, data_center: &str) {
        self.places.send_modify(|places| places.push((ip, data_center.to_string())));
    }

    /// Cuts the link between two data centres, or a data centre and [`PLATFORM`], both ways.
    pub fn partition(&self, left: &str, right: &str) {
        self.cuts.send_modify(|cuts| cuts.push((left.to_string(), right.to_string())));
    }

    /// What was carried.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Heals all links.
    pub fn heal(&self) {
        self.cuts.send_modify(Vec::clear);
    }

    /// Relays TCP connections to a target in a data centre, from wherever they come.
    pub async fn relay_tcp(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        to_place: &str,
        target: RelayTarget,
    ) {
        let listener = TcpListener::bind(from).await.unwrap();
        let network = self.clone();
        let to_place = to_place.to_string();
        tokio::spawn(async move {
            loop {
                let accepted = network.cancel.run_until_cancelled(listener.accept()).await;
                let Some(Ok((stream, address))) = accepted else { return };
                let from_place = network.place_of(address.ip());
                let carrying =
                    network.clone().carry(stream, to, from_place, to_place.clone(), target);
                tokio::spawn(carrying);
            }
        });
    }

    /// Relays TCP connections of one data centre to the platform.
    pub async fn relay_to_platform(&self, from: SocketAddr, to: SocketAddr, from_place: &str) {
        let listener = TcpListener::bind(from).await.unwrap();
        let network = self.clone();
        let from_place = from_place.to_string();
        tokio::spawn(async move {
            loop {
                let accepted = network.cancel.run_until_cancelled(listener.accept()).await;
                let Some(Ok((stream, _))) = accepted else { return };
                let carry = network.clone().carry(
                    stream,
                    to,
                    from_place.clone(),
                    PLATFORM.to_string(),
                    RelayTarget::Platform,
                );
                tokio::spawn(carry);
            }
        });
    }

    /// Relays datagrams to a target in a data centre.
    pub async fn relay_udp(&self, from: SocketAddr, to: SocketAddr, to_place: &str) {
        let socket = UdpSocket::bind(from).await.unwrap();
        let network = self.clone();
        let to_place = to_place.to_string();
        tokio::spawn(async move {
            let mut buffer = vec![0; BUFFER_BYTES];
            loop {
                let receiving = socket.recv_from(&mut buffer);
                let received = network.cancel.run_until_cancelled(receiving).await;
                let Some(Ok((size, address))) = received else { return };
                if network.is_open(&network.place_of(address.ip()), &to_place) {
                    network.traffic.gossip.fetch_add(size as u64, Ordering::Relaxed);
                    let _ = socket.send_to(&buffer[..size], to).await;
                }
            }
        });
    }

    /// Ends all relays.
    pub fn stop(&self) {
        self.cancel.cancel();
    }

    fn counter(&self, target: RelayTarget) -> &AtomicU64 {
        match target {
            RelayTarget::Peer => &self.traffic.peer,
            RelayTarget::Platform => &self.traffic.platform,
            RelayTarget::Backend => &self.traffic.backend,
        }
    }

    fn place_of(&self, ip: IpAddr) -> String {
        let places = self.places.borrow();
        let found = places.iter().find(|place| place.0 == ip);
        found.map_or_else(String::new, |place| place.1.clone())
    }

    fn is_open(&self, left: &str, right: &str) -> bool {
        is_open(&self.cuts.borrow(), left, right)
    }

    async fn carry(
        self,
        near: TcpStream,
        to: SocketAddr,
        left: String,
        right: String,
        target: RelayTarget,
    ) {
        let mut cuts = self.cuts.subscribe();
        let open = cuts.wait_for(|cuts| is_open(cuts, &left, &right));
        if !matches!(self.cancel.run_until_cancelled(open).await, Some(Ok(_))) {
            return;
        }
        let Ok(far) = TcpStream::connect(to).await else { return };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let link = Link { left: &left, right: &right, target };
        let out = self.copy(near_read, far_write, link);
        let back = self.copy(far_read, near_write, link);
        let both = futures::future::join(out, back);
        let _ = self.cancel.run_until_cancelled(both).await;
    }

    /// Copies bytes; holds them back while the link is cut.
    async fn copy(
        &self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        link: Link<'_>,
    ) {
        let Link { left, right, target } = link;
        let counter = self.counter(target);
        let mut cuts = self.cuts.subscribe();
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(size) = from.read(&mut buffer).await {
            if cuts.wait_for(|cuts| is_open(cuts, left, right)).await.is_err() {
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

/// The two ends of a relayed connection and what it is for.
#[derive(Clone, Copy)]
struct Link<'a> {
    left: &'a str,
    right: &'a str,
    target: RelayTarget,
}

fn is_open(cuts: &[(String, String)], left: &str, right: &str) -> bool {
    !cuts.iter().any(|cut| (cut.0 == left && cut.1 == right) || (cut.0 == right && cut.1 == left))
}
