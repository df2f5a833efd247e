//! Memory is reserved before it is used, and given back with the last reference.

use fl_clients::{ClientLimits, ClientResources, INCLUDED_BYTES, NoMemory, ReservedBuffer};

const SHARED_BYTES: usize = 256 * 1024;
const BODY_BYTES_MAX: usize = 128 * 1024;

fn resources() -> ClientResources {
    ClientResources::new(ClientLimits {
        caller_connections_max: 4,
        peer_connections_max: 4,
        monitoring_connections_max: 4,
        shared_bytes: SHARED_BYTES,
    })
}

#[tokio::test]
async fn small_pieces_joined() {
    let resources = resources();
    let mut buffer = ReservedBuffer::for_answer(&resources, BODY_BYTES_MAX);
    for number in 0..BODY_BYTES_MAX {
        buffer.push(&[number as u8]).await.expect("memory is free");
    }
    let bytes = buffer.into_bytes();
    assert!(bytes.iter().enumerate().all(|(number, byte)| *byte == number as u8));
    let copy = bytes.clone();
    drop(bytes);
    assert_eq!(resources.budget().free_bytes(), SHARED_BYTES - BODY_BYTES_MAX);
    drop(copy);
    assert_eq!(resources.budget().free_bytes(), SHARED_BYTES);
}

#[tokio::test]
async fn small_body_included() {
    let resources = resources();
    let all = resources.budget().try_reserve(SHARED_BYTES).expect("all is free");
    let mut buffer = ReservedBuffer::for_answer(&resources, BODY_BYTES_MAX);
    buffer.push(&[0; INCLUDED_BYTES]).await.expect("it needs no shared memory");
    drop(all);
}

#[tokio::test]
async fn larger_than_all_refused() {
    let resources = resources();
    let mut buffer = ReservedBuffer::for_answer(&resources, 2 * SHARED_BYTES);
    assert_eq!(buffer.reserve(SHARED_BYTES + 1).await, Err(NoMemory));
    assert_eq!(resources.budget().free_bytes(), SHARED_BYTES);
}

/// A reservation that is given up while it waits takes nothing.
#[tokio::test(start_paused = true)]
async fn abandoned_wait_takes_nothing() {
    let resources = resources();
    let held = resources.budget().try_reserve(SHARED_BYTES).expect("all is free");
    assert!(resources.reserve(SHARED_BYTES).await.is_err());
    drop(held);
    assert_eq!(resources.budget().free_bytes(), SHARED_BYTES);
}
