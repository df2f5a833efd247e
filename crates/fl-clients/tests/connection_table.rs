//! Which connection makes room for another one.

#![allow(clippy::expect_used, reason = "helpers of tests may panic as tests do")]

use fl_clients::{ClientLimits, ClientResources, ConnectionSlot, ConnectionTable};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(60);
/// Longer than a client may stop without making room.
const STOPPED: Duration = Duration::from_millis(1100);

struct Door {
    table: ConnectionTable,
    listener: TcpListener,
    clients: Vec<TcpStream>,
}

impl Door {
    async fn new(table: ConnectionTable) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address is free");
        Door { table, listener, clients: Vec::new() }
    }

    async fn connect(&mut self) -> ConnectionSlot {
        let address = self.listener.local_addr().expect("an address");
        self.clients.push(TcpStream::connect(address).await.expect("it listens"));
        self.table.accept(&self.listener, TIMEOUT, TIMEOUT).await.2
    }
}

fn resources(shared_bytes: usize) -> ClientResources {
    ClientResources::new(ClientLimits {
        caller_connections_max: 2,
        peer_connections_max: 2,
        monitoring_connections_max: 2,
        shared_bytes,
    })
}

/// Drops a slot once its connection has to make room, as the task of the connection does.
fn end_when_closed(slot: ConnectionSlot) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move { slot.closing().cancelled().await })
}

#[tokio::test]
async fn longest_idle_makes_room() {
    let mut door = Door::new(resources(0).callers().clone()).await;
    let first = end_when_closed(door.connect().await);
    let second = door.connect().await;
    let third = door.connect().await;
    first.await.expect("the first one was closed");
    assert!(!second.closing().is_cancelled() && !third.closing().is_cancelled());
    assert_eq!(door.table.open_connections(), 2);
}

#[tokio::test]
async fn served_calls_keep_their_connections() {
    let mut door = Door::new(resources(0).callers().clone()).await;
    let slots = [door.connect().await, door.connect().await];
    let requests = slots.each_ref().map(|slot| slot.timer().on_head_read());
    slots.iter().for_each(|slot| slot.timer().on_body_read());
    tokio::time::sleep(STOPPED).await;
    let refused = tokio::time::timeout(STOPPED, door.connect()).await;
    assert!(refused.is_err(), "there was room for a third one");
    assert!(slots.iter().all(|slot| !slot.closing().is_cancelled()));
    drop(requests);
    let next = tokio::spawn(async move { door.connect().await });
    slots[0].closing().cancelled().await;
    drop(slots);
    next.await.expect("an idle one made room");
}

#[tokio::test]
async fn stopped_body_makes_room() {
    let resources = resources(100);
    let mut door = Door::new(resources.callers().clone()).await;
    let slot = door.connect().await;
    let request = slot.timer().on_head_read();
    let held = slot.timer().hold(resources.reserve(60).await.expect("memory is free"));
    assert!(resources.reserve(60).await.is_err(), "its client has not stopped yet");
    assert!(!slot.closing().is_cancelled());
    tokio::time::sleep(STOPPED).await;
    let closed = slot.closing().clone();
    let ended = tokio::spawn(async move {
        closed.cancelled().await;
        drop((held, request, slot));
    });
    assert!(resources.reserve(60).await.is_ok(), "it did not make room");
    ended.await.expect("its task ended");
}
